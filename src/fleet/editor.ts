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
const retryPauseMs = 250;
const historySlots = 512;

/** What a `ConfigurationEditor` needs. */
export interface EditorOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly random: Random;
  /** The greatest configuration in force on a proxy, where one can be asked. */
  readonly findInForce?: () => Promise<Configuration | undefined>;
}

/** What came of a change. */
export type EditResult =
  | { readonly type: "applied"; readonly revision: number; readonly merged: boolean }
  | { readonly type: "unchanged"; readonly revision: number }
  | { readonly type: "conflict"; readonly conflicts: readonly MergeConflict[] }
  /** The revision that the operator started from is no longer kept. */
  | { readonly type: "baseUnknown" }
  /** The store can't be reached and nothing was sent. */
  | { readonly type: "unavailable"; readonly reason: string }
  /** The change may have taken effect: read it back before trying again. */
  | { readonly type: "uncertain"; readonly reason: string }
  /** The store holds something that is no configuration. */
  | { readonly type: "faulty" };

type Attempt =
  | { readonly type: "done"; readonly result: EditResult }
  | { readonly type: "again"; readonly reason: string; readonly attempted: number };

/** What the store holds, or why it can't be used. */
type CurrentRead =
  | { readonly type: "read"; readonly version: number; readonly stored?: StoredConfiguration }
  | { readonly type: "unavailable"; readonly reason: string }
  | { readonly type: "faulty" };

/** Applies operators' changes to the configuration by conditional update. */
export class ConfigurationEditor {
  constructor(private readonly options: EditorOptions) {}

  /** Reads the configuration that the store holds. */
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

  /** Applies a change made from `baseRevision`, and again after conflicts and lost answers. */
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
      attempted,
    });
    switch (plan.type) {
      case "landed":
        return { type: "done", result: { type: "applied", revision: plan.revision, merged: true } };
      case "unchanged":
      case "conflict":
      case "baseUnknown":
        return { type: "done", result: plan };
      case "uncertain":
        return { type: "done", result: { ...plan, reason: "too many changes since" } };
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
    // Kept before it is replaced: an editor that started from it finds its base, whoever dies when.
    if (before !== undefined && !(await this.saveHistory(before))) {
      return { type: "again", reason: "the history can't be written", attempted: 0 };
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
    const near = [stored, inForce].find((held) => held?.revision === revision);
    if (near !== undefined) return { type: "found", draft: near };
    const read = await this.options.store.get(historyKind, formatHistoryName(revision));
    if (read.type === "unavailable") return read;
    const kept = read.type === "found" ? decodeStored(read.value.value) : undefined;
    return kept?.revision === revision ? { type: "found", draft: kept } : { type: "found" };
  }

  private async saveHistory(before: StoredConfiguration): Promise<boolean> {
    const { store } = this.options;
    const name = formatHistoryName(before.revision);
    const read = await store.get(historyKind, name);
    if (read.type === "unavailable") return false;
    const held: StoredObject | undefined = read.type === "found" ? read.value : undefined;
    const kept = held === undefined ? undefined : decodeStored(held.value);
    if (kept !== undefined && kept.revision >= before.revision) return true;
    const written = await store.put(historyKind, name, toJson(before), held?.version ?? 0);
    return written.type === "written" || written.type === "conflict";
  }
}

function toAttempt(written: StoreWrite, revision: number, merged: boolean): Attempt {
  switch (written.type) {
    case "written":
      return { type: "done", result: { type: "applied", revision, merged } };
    case "conflict":
      return { type: "again", reason: "other editors were faster", attempted: 0 };
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
