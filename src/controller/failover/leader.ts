import { compareTerms, type TargetStatus, type Term } from "../../model/index.js";
import { type FailoverState, getTargetHealth, getMajoritySize, type Leadership } from "./state.js";

/** Whether a target says that it is primary and stands fenced no further than its own term. */
export function isLeading(status: TargetStatus): boolean {
  return status.role === "primary" && compareTerms(status.fencedAt, status.mark.term) === 0;
}

/**
 * Whether so many targets are known to be fenced past a term that its primary finds no majority any
 * more. Knowledge may be old, yet fences only grow: who was past the term still is.
 */
export function isSuperseded(state: FailoverState, term: Term): boolean {
  const past = state.options.targets.filter((t) => isFencedPast(state, t, term));
  return past.length > state.options.targets.length - getMajoritySize(state);
}

/**
 * Whether another target is known to lead the same term. Terms that a promoter opened have one
 * primary; of the first term that is only so where the group was set up with one.
 */
export function hasRivalPrimary(state: FailoverState, status: TargetStatus): boolean {
  return state.options.targets.some((target) => {
    const other = getTargetHealth(state, target).view?.status;
    if (target === status.target || other === undefined || !isLeading(other)) return false;
    return compareTerms(other.mark.term, status.mark.term) === 0;
  });
}

/** Whether a target is known to be fenced past a term. */
export function isFencedPast(state: FailoverState, target: string, term: Term): boolean {
  const status = getTargetHealth(state, target).view?.status;
  return status !== undefined && compareTerms(status.fencedAt, term) > 0;
}

/** Whether a target answered when it was last asked. */
export function isResponsive(state: FailoverState, target: string): boolean {
  const health = getTargetHealth(state, target);
  return health.view !== undefined && health.missedAnswers === 0;
}

/** Whether targets enough for a majority answer this observer, the suspect not counted. */
export function hasResponsiveMajority(state: FailoverState, suspect?: string): boolean {
  const heard = state.options.targets.filter((t) => t !== suspect && isResponsive(state, t));
  return heard.length >= getMajoritySize(state);
}

/** Whether this observer has lost the primary and has no standing to replace it. */
export function isCutOff({ phase }: FailoverState): boolean {
  return phase.type === "cutOff" || (phase.type === "suspecting" && phase.wasCutOff);
}

/** The primary that the phase believes in, if it does in one. */
export function findLeadership({ phase }: FailoverState): Leadership | undefined {
  switch (phase.type) {
    case "steady":
    case "suspecting":
    case "cutOff":
      return phase.term === undefined ? undefined : { primary: phase.primary, term: phase.term };
    case "searching":
    case "waiting":
    case "fencing":
    case "promoting":
      return undefined;
  }
}

/** A replica other than `target` that holds all that `target` has. */
export function findCaughtUpReplica(state: FailoverState, target: string): string | undefined {
  const mark = getTargetHealth(state, target).view?.status.mark;
  if (mark === undefined) return undefined;
  return state.options.targets.find((t) => {
    const other = getTargetHealth(state, t).view?.status.mark;
    if (t === target || other === undefined || !isResponsive(state, t)) return false;
    return other.offset === mark.offset && compareTerms(other.term, mark.term) === 0;
  });
}
