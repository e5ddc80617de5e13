import type { Configuration } from "../../model/index.js";
import { isSameValue } from "./canonical.js";
import type { StoredConfiguration } from "./decode.js";
import { mergeDrafts, type Draft, type MergeConflict } from "./merge.js";

/** How many change ids the stored value keeps, to recognise changes whose answer was lost. */
export const maxStoredChangeIds = 256;

/** A change made by an operator. */
export interface Edit {
  /** Identifies the change in the store when the answer to its update was lost. */
  readonly changeId: string;
  /** The version that the operator edited; absent when that revision is no longer kept. */
  readonly base?: Draft;
  /** The version that the operator wants. */
  readonly draft: Draft;
}

/** What an editor does next, given the stored configuration. */
export type EditPlan =
  /** The change is already stored: an earlier attempt succeeded and its answer was lost. */
  | { readonly type: "landed"; readonly revision: number }
  /** The current configuration already equals the draft. */
  | { readonly type: "unchanged"; readonly revision: number }
  | { readonly type: "write"; readonly value: StoredConfiguration }
  | { readonly type: "conflict"; readonly conflicts: readonly MergeConflict[] }
  /** The revision that the operator edited is no longer kept, so nothing can be merged. */
  | { readonly type: "baseUnknown" }
  /** More changes followed the lost answer than the stored ids cover, so its outcome is unknown. */
  | { readonly type: "uncertain" };

/** What an editor knows when it plans an attempt. */
export interface EditContext {
  /** The stored configuration; absent when there is none. */
  readonly stored?: StoredConfiguration;
  /** The configuration of the greatest revision in force on a proxy; absent when unknown. */
  readonly inForce?: Configuration;
  /** The revision that an update with an unknown outcome may have written; 0 when none was sent. */
  readonly attemptedRevision: number;
}

/**
 * Plans one attempt. The new revision is greater than both the stored one and the one in force.
 * Otherwise, after the store was restored from an old copy, the new revisions would be too small
 * for any proxy to adopt.
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
