import { compareMarkOrder } from "../model/index.js";
import type { TargetReport } from "../statement/index.js";
import type { Suspicion } from "./suspicion.js";

/** Whether the proxies reach a primary, as far as they answered. */
export interface Reachability {
  readonly reaching: number;
  readonly missing: number;
  /** Proxies that did not answer the question. */
  readonly silent: number;
}

/** What to do about a suspected primary. */
export type ChangeDecision =
  | { readonly type: "keep"; readonly reason: string }
  | { readonly type: "change"; readonly reason: string };

/**
 * From this share of proxies on that can't reach a primary the role is moved: moving it costs all
 * callers about half a second, leaving it there costs theirs the whole cut.
 */
const movingShare = 1 / 3;

/**
 * Decides whether a suspected primary is replaced. Not by a proxy that hears of less than half of the
 * others: it is most likely the one that is cut off. Once a cut has healed one that
 * reaches the store before its peers would begin a change on its own word, and the primary that all others
 * use would stand unused until the end of that.
 */
export function decideChange(suspicion: Suspicion, reach: Reachability): ChangeDecision {
  if (suspicion.type === "leaving") return { type: "change", reason: "the primary is leaving" };
  if (suspicion.type === "unlisted") return { type: "change", reason: "the primary is gone" };
  if (suspicion.type === "emptied") return { type: "change", reason: "the primary lost its log" };
  const answered = reach.reaching + reach.missing;
  if (answered <= reach.silent) {
    return { type: "keep", reason: `${reach.silent} proxies do not say whether they reach it` };
  }
  if (reach.reaching === 0) return { type: "change", reason: "no proxy reaches the primary" };
  const share = reach.missing / answered;
  if (share >= movingShare) {
    return { type: "change", reason: `${reach.missing} proxies can't reach the primary` };
  }
  return { type: "keep", reason: `${reach.reaching} proxies reach the primary` };
}

/** A target that may lead, with what it said of itself. */
export interface Contender {
  readonly target: string;
  readonly isLeaving: boolean;
  readonly report: TargetReport;
}

/**
 * The target that should lead. One that started again with nothing has the shortest log, so that it
 * leads only where no other runs. One that leads a newer term than all others already is taken first:
 * an earlier change may have got that far. Else the one with the longest log, which loses least; a
 * target that is leaving only where there is no other.
 */
export function chooseContender(
  contenders: readonly Contender[],
  old: string,
): Contender | undefined {
  const staying = contenders.filter((c) => !c.isLeaving);
  const pool = staying.length > 0 ? staying : contenders;
  const leader = pool.find((c) => c.report.role === "primary" && c.target !== old);
  if (leader !== undefined && pool.every((c) => c.report.round <= leader.report.round)) {
    return leader;
  }
  return [...pool].sort(compareContenders)[0];
}

function compareContenders(a: Contender, b: Contender): number {
  const byLog = compareMarkOrder(b.report.received, a.report.received);
  if (byLog !== 0) return byLog;
  if (a.report.lagMs !== b.report.lagMs) return a.report.lagMs - b.report.lagMs;
  return a.target < b.target ? -1 : 1;
}
