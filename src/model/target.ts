import type { Lineage, Mark } from "./mark.js";
import type { Term } from "./term.js";

/** What a target says of itself. */
export interface TargetStatus {
  readonly target: string;
  readonly role: "primary" | "replica";
  /** The end of its log. */
  readonly mark: Mark;
  readonly lineage: Lineage;
  /** It takes part in no term older than this one: the highest it was fenced, promoted or told to follow at. */
  readonly fencedAt: Term;
  /**
   * The target it copies now. Absent once it is fenced past the term in which it was told: it copies
   * nothing then, and must be told again even when the same target is elected anew.
   */
  readonly follows?: string;
}

/** A control request's outcome. `refused` carries the term that stood in the way. */
export type ControlResult =
  | { readonly type: "accepted"; readonly status: TargetStatus }
  | { readonly type: "refused"; readonly fencedAt: Term }
  | { readonly type: "unreachable"; readonly reason: string };

/** What the group's owner last knew of one target. Times are on the owner's clock. */
export interface TargetView {
  readonly status: TargetStatus;
  /** When the request that brought `status` was sent: the status is no older. */
  readonly askedAt: number;
  readonly answeredAt: number;
  readonly missedProbes: number;
}

/** A group as its owner sees it. */
export interface GroupView {
  readonly group: string;
  /** The name of the primary that the owner believes in, with its term. */
  readonly primary?: { readonly target: string; readonly term: Term };
  readonly targets: Readonly<Record<string, TargetView | undefined>>;
}

/** The smallest number of targets of which any two sets meet. */
export function countMajority(targetCount: number): number {
  return Math.floor(targetCount / 2) + 1;
}
