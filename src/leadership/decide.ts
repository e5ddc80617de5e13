import { compareMarkOrder } from "../model/index.js";
import type { TargetReport } from "../statement/index.js";
import type { Suspicion } from "./suspicion.js";

/** The numbers of proxies that do and do not reach a primary. */
export interface Reachability {
  readonly reaching: number;
  readonly notReaching: number;
  /** Proxies that did not answer and may run. */
  readonly silent: number;
}

/** Whether a suspected primary is kept or replaced. The reason is logged. */
export type ChangeDecision =
  | { readonly type: "keep"; readonly reason: string }
  | { readonly type: "change"; readonly reason: string };

/**
 * A primary is replaced if at least this share of the proxies can't reach it. A change interrupts all callers
 * for about half a second; without one, the callers of those proxies are interrupted for the whole partition.
 */
const minNotReachingShare = 1 / 3;

/**
 * Decides whether a suspected primary is replaced. A proxy that hears from no more than half of the proxies does
 * not replace one that it cannot reach: it is most likely the one that is cut off. Otherwise, when a partition heals
 * and it reaches the store before its peers, it would begin a change on its own observation, and nobody could use a
 * healthy primary until that change is over.
 */
export function decideChange(suspicion: Suspicion, reach: Reachability): ChangeDecision {
  if (suspicion.type === "leaving") return { type: "change", reason: "the primary is leaving" };
  if (suspicion.type === "unlisted")
    return { type: "change", reason: "the primary is no longer listed" };
  if (suspicion.type === "emptied") return { type: "change", reason: "the primary lost commits" };
  const answered = reach.reaching + reach.notReaching;
  if (answered <= reach.silent) {
    return {
      type: "keep",
      reason: `${reach.silent} proxies did not answer whether they reach the primary`,
    };
  }
  if (reach.reaching === 0) return { type: "change", reason: "no proxy reaches the primary" };
  const share = reach.notReaching / answered;
  if (share >= minNotReachingShare) {
    return { type: "change", reason: `${reach.notReaching} proxies can't reach the primary` };
  }
  return { type: "keep", reason: `${reach.reaching} proxies reach the primary` };
}

/** A target that may become primary, with its status report. */
export interface Candidate {
  readonly target: string;
  readonly isLeaving: boolean;
  /** Whether it is in another region than the replaced primary. */
  readonly isRemote?: boolean;
  readonly report: TargetReport;
}

/**
 * Chooses the target that becomes primary. A target that is already primary of the newest round comes first, since
 * an earlier change may have been interrupted after its promotion. Otherwise the one with the longest log is
 * chosen, which loses the fewest commits; a target that restarted empty has the shortest log and is chosen
 * only if no other one runs. Among equally long logs the replaced primary's region comes first, since the callers
 * that write are likely to be near it. A target that is leaving is chosen only if there is no other.
 */
export function chooseCandidate(
  candidates: readonly Candidate[],
  oldTarget: string,
): Candidate | undefined {
  const staying = candidates.filter((c) => !c.isLeaving);
  const pool = staying.length > 0 ? staying : candidates;
  const leader = pool.find((c) => c.report.role === "primary" && c.target !== oldTarget);
  if (leader !== undefined && pool.every((c) => c.report.round <= leader.report.round)) {
    return leader;
  }
  return [...pool].sort(compareCandidates)[0];
}

function compareCandidates(a: Candidate, b: Candidate): number {
  const byLog = compareMarkOrder(b.report.received, a.report.received);
  if (byLog !== 0) return byLog;
  const byRegion = Number(a.isRemote === true) - Number(b.isRemote === true);
  if (byRegion !== 0) return byRegion;
  if (a.report.lagMs !== b.report.lagMs) return a.report.lagMs - b.report.lagMs;
  return a.target < b.target ? -1 : 1;
}
