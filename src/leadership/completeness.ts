import { compareMarkOrder, type Mark } from "../model/index.js";
import type { TargetReport } from "../statement/index.js";
import type { Candidate } from "./decide.js";

/** What is known of where a synchronous group's acknowledged commits are. */
export interface LogEvidence {
  /** The end of the old primary's log when it was demoted; `undefined` unless it certainly has every acknowledged commit. */
  readonly oldEnd: Mark | undefined;
  /** Whether every other target that may have received an acknowledged commit has reported its position. */
  readonly hasAllReplicas: boolean;
}

/** Whether a target has received all that another one had when it reported. */
export function hasReceived(
  report: TargetReport,
  { received }: Pick<TargetReport, "received">,
): boolean {
  return compareMarkOrder(report.received, received) >= 0;
}

/**
 * Lists the candidates that certainly have every acknowledged commit of a group whose commits are acknowledged once any
 * replica has received them. Either the old primary's log ends no later, or all replicas have reported and none has more.
 */
export function listCompleteCandidates(
  candidates: readonly Candidate[],
  { oldEnd, hasAllReplicas }: LogEvidence,
): readonly Candidate[] {
  const longest = candidates.filter((a) =>
    candidates.every((b) => hasReceived(a.report, b.report)),
  );
  const isWhole = ({ report }: Candidate) =>
    oldEnd !== undefined && hasReceived(report, { received: oldEnd });
  return longest.filter((candidate) => hasAllReplicas || isWhole(candidate));
}
