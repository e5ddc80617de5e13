import { SqlError } from "./error.js";
import type { LockOwner, Locks } from "./locks.js";
import type { Change } from "./log.js";
import { buildKey, type Table, type TableDefinition } from "./table.js";
import type { Row } from "./value.js";

interface Entry {
  /** The committed row at the time of the transaction's first change to it. */
  readonly base: Row | undefined;
  readonly row: Row | undefined;
}

/** The state that all table views of one transaction share. */
export interface ViewContext {
  readonly locks: Locks;
  readonly owner: LockOwner;
  /** Rows changed after this log offset must not be changed; undefined for no such limit. */
  readonly snapshotOffset: number | undefined;
}

/** One transaction's view of a table: its own changes on top of the committed rows. */
export class TableView {
  private readonly entries: Map<number, Entry>;
  private readonly keys: readonly Map<string, number>[];

  constructor(
    readonly table: Table,
    private readonly shared: ViewContext,
    copied?: TableView,
  ) {
    this.entries = new Map(copied?.entries);
    this.keys = table.definition.uniques.map((_, i) => new Map(copied?.keys[i]));
  }

  get definition(): TableDefinition {
    return this.table.definition;
  }

  get(id: number): Row | undefined {
    const entry = this.entries.get(id);
    return entry === undefined ? this.table.rows.get(id) : entry.row;
  }

  /** Lists every visible row with its id. */
  *list(): Iterable<readonly [number, Row]> {
    for (const [id, row] of this.table.rows) if (!this.entries.has(id)) yield [id, row];
    for (const [id, entry] of this.entries) if (entry.row !== undefined) yield [id, entry.row];
  }

  /** Finds the id of the visible row with `key` in the unique constraint at `position`. */
  findId(position: number, key: string): number | undefined {
    const own = this.keys[position]?.get(key);
    if (own !== undefined) return own;
    const committed = this.table.findId(position, key);
    return committed === undefined || this.entries.has(committed) ? undefined : committed;
  }

  copy(): TableView {
    return new TableView(this.table, this.shared, this);
  }

  /** Locks a row until the transaction ends. */
  lockRow(id: number): void {
    const { locks, owner, snapshotOffset = Infinity } = this.shared;
    locks.acquire(owner, `${this.definition.name} row ${id}`);
    if (this.table.getChangedAt(id) > snapshotOffset)
      throw createConflictError(this.definition.name);
  }

  /** Locks `key` in the unique constraint at `position` against inserts by other transactions. */
  lockKey(position: number, key: string): void {
    const { locks, owner } = this.shared;
    locks.acquire(owner, `${this.definition.name} key ${position} ${key}`);
  }

  /** Changes a row, or removes it when `row` is undefined. */
  put(id: number, row: Row | undefined): void {
    this.lockRow(id);
    const before = this.get(id);
    const base = this.entries.get(id)?.base ?? this.table.rows.get(id);
    this.putKeys(id, before, row);
    this.entries.set(id, { base, row });
  }

  /** Collects the changes; fails if another transaction has changed the same rows meanwhile. */
  collect(): readonly Change[] {
    const table = this.definition.name;
    return [...this.entries].flatMap(([id, entry]): Change[] => {
      this.checkEntry(id, entry);
      if (entry.row !== undefined) return [{ type: "put", table, id, row: entry.row }];
      return entry.base === undefined ? [] : [{ type: "remove", table, id }];
    });
  }

  private checkEntry(id: number, entry: Entry): void {
    const { row } = entry;
    const violatesUnique =
      row !== undefined &&
      this.definition.uniques.some((unique, position) => {
        const key = buildKey(unique.columns, row);
        const committed = key === undefined ? undefined : this.table.findId(position, key);
        return committed !== undefined && committed !== id && !this.entries.has(committed);
      });
    if (violatesUnique || this.table.rows.get(id) !== entry.base) {
      throw new SqlError("40001", "could not serialize access due to concurrent update");
    }
  }

  private putKeys(id: number, before: Row | undefined, after: Row | undefined): void {
    this.definition.uniques.forEach((unique, position) => {
      const keys = this.keys[position];
      const old = before === undefined ? undefined : buildKey(unique.columns, before);
      if (old !== undefined) this.lockKey(position, old);
      if (old !== undefined && keys?.get(old) === id) keys.delete(old);
      const key = after === undefined ? undefined : buildKey(unique.columns, after);
      if (key === undefined) return;
      this.lockKey(position, key);
      keys?.set(key, id);
    });
  }
}

/** Creates the error for a change that conflicts with another transaction's commit. */
export function createConflictError(name: string): SqlError {
  return new SqlError("40001", `relation "${name}" was changed by another transaction`);
}
