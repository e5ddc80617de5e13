import { compareTerms, type TargetStatus, type Term } from "../../model/index.js";
import { type FailoverState, getTargetHealth, getMajoritySize, type Leadership } from "./state.js";

/** Whether a target reports that it is primary and is not fenced past the term of its log. */
export function isLeading(status: TargetStatus): boolean {
  return status.role === "primary" && compareTerms(status.fencedAt, status.mark.term) === 0;
}

/**
 * Whether enough targets are known to be fenced past a term that its primary can't get a majority
 * any more. Old statuses suffice, since fences only grow: a target that was past the term still is.
 */
export function isSuperseded(state: FailoverState, term: Term): boolean {
  const past = state.options.targets.filter((t) => isFencedPast(state, t, term));
  return past.length > state.options.targets.length - getMajoritySize(state);
}

/**
 * Whether another target is known to be primary of the same term. A term that a promoter opened has
 * one primary. The first term can have several if the group was set up without a designated
 * primary.
 */
export function hasRivalPrimary(state: FailoverState, status: TargetStatus): boolean {
  return state.options.targets.some((target) => {
    const other = getTargetHealth(state, target).view?.status;
    if (target === status.target || other === undefined || !isLeading(other)) return false;
    return compareTerms(other.mark.term, status.mark.term) === 0;
  });
}

/** Whether a target is known to be fenced at a term later than `term`. */
export function isFencedPast(state: FailoverState, target: string, term: Term): boolean {
  const status = getTargetHealth(state, target).view?.status;
  return status !== undefined && compareTerms(status.fencedAt, term) > 0;
}

/** Whether a target has answered and has missed no status request since. */
export function isResponsive(state: FailoverState, target: string): boolean {
  const health = getTargetHealth(state, target);
  return health.view !== undefined && health.missedAnswers === 0;
}

/** Whether a majority of the group is responsive here, not counting the suspect. */
export function hasResponsiveMajority(state: FailoverState, suspect?: string): boolean {
  const heard = state.options.targets.filter((t) => t !== suspect && isResponsive(state, t));
  return heard.length >= getMajoritySize(state);
}

/** Whether this observer can't reach the primary and may not replace it either. */
export function isCutOff({ phase }: FailoverState): boolean {
  return phase.type === "cutOff" || (phase.type === "suspecting" && phase.wasCutOff);
}

/** The primary that the current phase assumes; `undefined` when no primary is known. */
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

/** Finds a responsive target other than `target` whose log ends at the same mark. */
export function findCaughtUpReplica(state: FailoverState, target: string): string | undefined {
  const mark = getTargetHealth(state, target).view?.status.mark;
  if (mark === undefined) return undefined;
  return state.options.targets.find((t) => {
    const other = getTargetHealth(state, t).view?.status.mark;
    if (t === target || other === undefined || !isResponsive(state, t)) return false;
    return other.offset === mark.offset && compareTerms(other.term, mark.term) === 0;
  });
}
