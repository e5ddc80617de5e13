import type { Configuration } from "../../model/index.js";
import { isSameValue } from "./canonical.js";
import type { StoredConfiguration } from "./decode.js";
import { mergeDrafts, type Draft, type MergeConflict } from "./merge.js";

/** How many change ids the store's value remembers. */
export const maxStoredChangeIds = 256;

/** One operator's change. */
export interface Edit {
  /** Recognises the change when the answer to its update was lost. */
  readonly changeId: string;
  /** What the operator started from; absent when that revision is no longer kept. */
  readonly base?: Draft;
  /** What the operator wants. */
  readonly draft: Draft;
}

/** What an editor does with what the store holds now. */
export type EditPlan =
  | { readonly type: "landed"; readonly revision: number }
  | { readonly type: "unchanged"; readonly revision: number }
  | { readonly type: "write"; readonly value: StoredConfiguration }
  | { readonly type: "conflict"; readonly conflicts: readonly MergeConflict[] }
  | { readonly type: "baseUnknown" }
  /** So many changes came since the lost answer that the store can't tell any more. */
  | { readonly type: "uncertain" };

/** What an editor knows when it plans. */
export interface EditContext {
  /** What the store holds; absent when it holds nothing. */
  readonly stored?: StoredConfiguration;
  /** The greatest configuration that a proxy has in force, where that is known. */
  readonly inForce?: Configuration;
  /** The revision that an update with an unknown outcome may have written; 0 when none was sent. */
  readonly attemptedRevision: number;
}

/**
 * Plans one attempt. The new revision follows both the store's and the fleet's: a store that came
 * back older than the fleet would else be given revisions that no proxy adopts.
 */
export function planEdit(
  edit: Edit,
  { stored, inForce, attemptedRevision }: EditContext,
): EditPlan {
  const current = pickNewest(stored, inForce);
  if (stored?.changes.includes(edit.changeId) === true) {
    return { type: "landed", revision: stored.revision };
  }
  if (attemptedRevision > 0 && current.revision - attemptedRevision >= maxStoredChangeIds) {
    return { type: "uncertain" };
  }
  if (isSameDraft(edit.draft, current) && current.revision === (stored?.revision ?? 0)) {
    return { type: "unchanged", revision: current.revision };
  }
  const base = edit.base;
  if (base === undefined) return { type: "baseUnknown" };
  const merge = mergeDrafts(base, edit.draft, current);
  if (merge.type === "conflict") return merge;
  const changes = [edit.changeId, ...(stored?.changes ?? [])].slice(0, maxStoredChangeIds);
  const revision = current.revision + 1;
  return { type: "write", value: { revision, changeId: edit.changeId, changes, ...merge.draft } };
}

function isSameDraft(a: Draft, b: Draft): boolean {
  const sortTeams = (draft: Draft) => draft.teams.map(({ name, plan }) => `${name} ${plan}`).sort();
  return isSameValue(sortTeams(a), sortTeams(b)) && isSameValue(a.rules, b.rules);
}

function pickNewest(
  stored: StoredConfiguration | undefined,
  inForce: Configuration | undefined,
): Configuration {
  const empty: Configuration = { revision: 0, changeId: "", teams: [], rules: [] };
  const current = stored ?? empty;
  return inForce !== undefined && inForce.revision > current.revision ? inForce : current;
}
