import type { Json, StoredObject, StoreChange } from "../../src/model/index.js";

/** The outcome of a conditional update. */
export type UpdateResult =
  { readonly type: "written"; readonly object: StoredObject } | { readonly type: "conflict" };

interface Entry {
  readonly object: StoredObject;
  /** A removed object is kept, so that watches report the removal and its version keeps growing. */
  readonly isRemoved: boolean;
}

/** The objects of the stand-in platform. Each change gets the next version of one global counter. */
export class VersionedObjects {
  private readonly entries = new Map<string, Entry>();
  private readonly listeners = new Set<() => void>();
  private latest = 0;

  get version(): number {
    return this.latest;
  }

  get(kind: string, name: string): StoredObject | undefined {
    const entry = this.entries.get(makeKey(kind, name));
    return entry?.isRemoved === false ? entry.object : undefined;
  }

  list(kind: string): readonly StoredObject[] {
    return [...this.entries.values()]
      .filter((e) => !e.isRemoved && e.object.kind === kind)
      .map((e) => e.object);
  }

  /** Writes an object if its version is still `version`; 0 requires that it does not exist. */
  put(kind: string, name: string, value: Json, version: number): UpdateResult {
    return this.update(kind, name, value, version, false);
  }

  remove(kind: string, name: string, version: number): UpdateResult {
    if (this.get(kind, name) === undefined) return { type: "conflict" };
    return this.update(kind, name, null, version, true);
  }

  /** Lists the latest change of each object that changed after the version `after`, oldest first. */
  listChanges(kind: string, after: number): readonly StoreChange[] {
    return [...this.entries.values()]
      .filter((e) => e.object.kind === kind && e.object.version > after)
      .sort((a, b) => a.object.version - b.object.version)
      .map(({ object, isRemoved }) =>
        isRemoved ? { type: "removed", kind, name: object.name } : { type: "changed", object },
      );
  }

  /** Calls `listener` after each change until the returned function is called. */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private update(
    kind: string,
    name: string,
    value: Json,
    version: number,
    isRemoved: boolean,
  ): UpdateResult {
    if ((this.get(kind, name)?.version ?? 0) !== version) return { type: "conflict" };
    this.latest += 1;
    const object = { kind, name, version: this.latest, value };
    this.entries.set(makeKey(kind, name), { object, isRemoved });
    for (const listener of [...this.listeners]) listener();
    return { type: "written", object };
  }
}

function makeKey(kind: string, name: string): string {
  return `${kind}/${name}`;
}
