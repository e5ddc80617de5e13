import type { Lineage, Mark } from "./mark.js";
import type { Term } from "./term.js";

/** The status that a target reports. */
export interface TargetStatus {
  readonly target: string;
  readonly role: "primary" | "replica";
  /** Where its log ends. */
  readonly mark: Mark;
  readonly lineage: Lineage;
  /**
   * The highest term at which the target was fenced, promoted or made a replica. It takes part in no
   * older term.
   */
  readonly fencedAt: Term;
  /**
   * The target that it replicates from. Absent once it is fenced past the term in which it was told to:
   * it then replicates nothing until it is told again, even if the same target is elected again.
   */
  readonly follows?: string;
}

/** The result of a control request. `fencedAt` of `refused` is the term that it conflicts with. */
export type ControlResult =
  | { readonly type: "accepted"; readonly status: TargetStatus }
  | { readonly type: "refused"; readonly fencedAt: Term }
  | { readonly type: "unreachable"; readonly reason: string };

/** The last known state of a target at the group's owner. Times are on the owner's clock. */
export interface TargetView {
  readonly status: TargetStatus;
  /** When the request for `status` was sent. The status is at least as recent. */
  readonly askedAt: number;
  readonly answeredAt: number;
  readonly missedProbes: number;
}

/** The last known state of a group at its owner. */
export interface GroupView {
  readonly group: string;
  /** The target that the owner takes for the primary, with its term. */
  readonly primary?: { readonly target: string; readonly term: Term };
  readonly targets: Readonly<Record<string, TargetView | undefined>>;
}

/** The size of a majority of `targetCount` targets: any two sets of that size share a target. */
export function countMajority(targetCount: number): number {
  return Math.floor(targetCount / 2) + 1;
}
