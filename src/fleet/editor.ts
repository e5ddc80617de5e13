import {
  decodeStored,
  planEdit,
  type Draft,
  type Edit,
  type MergeConflict,
  type StoredConfiguration,
} from "../controller/configuration/index.js";
import type {
  Clock,
  Configuration,
  Json,
  ObjectStore,
  Random,
  StoredObject,
  StoreWrite,
} from "../model/index.js";
import { configurationKind, configurationName, historyKind } from "./kinds.js";
import { addJitter } from "./loop.js";

const maxAttempts = 12;
/** Mean pause between two attempts. */
const retryPauseMs = 250;
/** Number of history objects; a revision overwrites the one that is this many revisions older. */
const historySlots = 512;

/** Dependencies of a `ConfigurationEditor`. */
export interface EditorOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  /** Returns the greatest configuration in force on any proxy; undefined if no proxy answers. */
  readonly findInForce?: () => Promise<Configuration | undefined>;
}

/** Outcome of a change. `merged`: other changes were, or may have been, merged with it. */
export type EditResult =
  | { readonly type: "applied"; readonly revision: number; readonly merged: boolean }
  | { readonly type: "unchanged"; readonly revision: number }
  | { readonly type: "conflict"; readonly conflicts: readonly MergeConflict[] }
  /** The revision that the operator started from is no longer in the history. */
  | { readonly type: "baseUnknown" }
  /** The store is unreachable; the change did not take effect. */
  | { readonly type: "unavailable"; readonly reason: string }
  /** The change may have taken effect: read the configuration before trying again. */
  | { readonly type: "uncertain"; readonly reason: string }
  /** The stored object is not a valid configuration. */
  | { readonly type: "faulty" };

/**
 * Result of one attempt. `attempted` is the revision that a write with an unknown outcome may have
 * stored; 0 if there was none.
 */
type Attempt =
  | { readonly type: "done"; readonly result: EditResult }
  | { readonly type: "again"; readonly reason: string; readonly attempted: number };

/** The stored configuration with its object version, or why it could not be read. */
type CurrentRead =
  | { readonly type: "read"; readonly version: number; readonly stored?: StoredConfiguration }
  | { readonly type: "unavailable"; readonly reason: string }
  | { readonly type: "faulty" };

/** Applies operators' changes to the stored configuration by conditional writes. */
export class ConfigurationEditor {
  constructor(private readonly options: EditorOptions) {}

  /** Reads the stored configuration; without `stored` and with version 0 if there is none. */
  async readCurrent(): Promise<CurrentRead> {
    const read = await this.options.store.get(configurationKind, configurationName);
    switch (read.type) {
      case "found": {
        const stored = decodeStored(read.value.value);
        if (stored === undefined) return { type: "faulty" };
        return { type: "read", version: read.value.version, stored };
      }
      case "absent":
        return { type: "read", version: 0 };
      case "unavailable":
        return read;
    }
  }

  /**
   * Applies a change that was made to `baseRevision`. Tries again after conflicts and lost answers,
   * up to `maxAttempts` times.
   */
  async apply(
    change: { readonly changeId: string; readonly draft: Draft },
    baseRevision: number,
  ): Promise<EditResult> {
    const inForce = await this.options.findInForce?.();
    let attempted = 0;
    let reason = "";
    for (let i = 0; i < maxAttempts; i++) {
      const attempt = await this.attemptEdit(change, baseRevision, inForce, attempted);
      if (attempt.type === "done") return attempt.result;
      attempted = Math.max(attempted, attempt.attempted);
      reason = attempt.reason;
      await this.options.clock.sleep(addJitter(this.options.random, retryPauseMs));
    }
    return attempted > 0 ? { type: "uncertain", reason } : { type: "unavailable", reason };
  }

  private async attemptEdit(
    change: { readonly changeId: string; readonly draft: Draft },
    baseRevision: number,
    inForce: Configuration | undefined,
    attempted: number,
  ): Promise<Attempt> {
    const current = await this.readCurrent();
    if (current.type === "unavailable") return { ...current, type: "again", attempted };
    if (current.type === "faulty") return { type: "done", result: current };
    const { stored, version } = current;
    const base = await this.findBase(baseRevision, stored, inForce);
    if (base.type === "unavailable") return { ...base, type: "again", attempted };
    const edit: Edit = base.draft === undefined ? change : { ...change, base: base.draft };
    const plan = planEdit(edit, {
      ...(stored === undefined ? {} : { stored }),
      ...(inForce === undefined ? {} : { inForce }),
      attemptedRevision: attempted,
    });
    switch (plan.type) {
      case "landed":
        return { type: "done", result: { type: "applied", revision: plan.revision, merged: true } };
      case "unchanged":
      case "conflict":
      case "baseUnknown":
        return { type: "done", result: plan };
      case "uncertain":
        return { type: "done", result: { ...plan, reason: "too many changes were made since" } };
      case "write":
        return this.write(plan.value, version, stored, plan.value.revision !== baseRevision + 1);
    }
  }

  private async write(
    value: StoredConfiguration,
    version: number,
    before: StoredConfiguration | undefined,
    merged: boolean,
  ): Promise<Attempt> {
    // Saved before the write replaces it: editors that started from this revision find their base
    // there, even if this process fails between the two writes.
    if (before !== undefined && !(await this.saveHistory(before))) {
      return {
        type: "again",
        reason: "the previous revision could not be saved to the history",
        attempted: 0,
      };
    }
    const { store } = this.options;
    const written = await store.put(configurationKind, configurationName, toJson(value), version);
    return toAttempt(written, value.revision, merged);
  }

  private async findBase(
    revision: number,
    stored: StoredConfiguration | undefined,
    inForce: Configuration | undefined,
  ): Promise<
    | { readonly type: "found"; readonly draft?: Draft }
    | { readonly type: "unavailable"; readonly reason: string }
  > {
    if (revision === 0) return { type: "found", draft: { teams: [], rules: [] } };
    const loaded = [stored, inForce].find((candidate) => candidate?.revision === revision);
    if (loaded !== undefined) return { type: "found", draft: loaded };
    const read = await this.options.store.get(historyKind, formatHistoryName(revision));
    if (read.type === "unavailable") return read;
    const saved = read.type === "found" ? decodeStored(read.value.value) : undefined;
    return saved?.revision === revision ? { type: "found", draft: saved } : { type: "found" };
  }

  private async saveHistory(before: StoredConfiguration): Promise<boolean> {
    const { store } = this.options;
    const name = formatHistoryName(before.revision);
    const read = await store.get(historyKind, name);
    if (read.type === "unavailable") return false;
    const existing: StoredObject | undefined = read.type === "found" ? read.value : undefined;
    const saved = existing === undefined ? undefined : decodeStored(existing.value);
    if (saved !== undefined && saved.revision >= before.revision) return true;
    const written = await store.put(historyKind, name, toJson(before), existing?.version ?? 0);
    return written.type === "written" || written.type === "conflict";
  }
}

function toAttempt(written: StoreWrite, revision: number, merged: boolean): Attempt {
  switch (written.type) {
    case "written":
      return { type: "done", result: { type: "applied", revision, merged } };
    case "conflict":
      return {
        type: "again",
        reason: "other editors changed the configuration first",
        attempted: 0,
      };
    case "unknown":
      return { type: "again", reason: written.reason, attempted: revision };
    case "unavailable":
      return { type: "again", reason: written.reason, attempted: 0 };
  }
}

function formatHistoryName(revision: number): string {
  return `r${revision % historySlots}`;
}

function toJson(value: StoredConfiguration): Json {
  return value as unknown as Json;
}
