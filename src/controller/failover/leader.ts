import { compareTerms, type TargetStatus, type Term } from "../../model/index.js";
import { type FailoverState, getHealth, getMajority, type Leadership } from "./state.js";

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
  return past.length > state.options.targets.length - getMajority(state);
}

/**
 * Whether another target is known to lead the same term. Terms that a promoter opened have one
 * primary; of the first term that is only so where the group was set up with one.
 */
export function hasDouble(state: FailoverState, status: TargetStatus): boolean {
  return state.options.targets.some((target) => {
    const other = getHealth(state, target).view?.status;
    if (target === status.target || other === undefined || !isLeading(other)) return false;
    return compareTerms(other.mark.term, status.mark.term) === 0;
  });
}

/** Whether a target is known to be fenced past a term. */
export function isFencedPast(state: FailoverState, target: string, term: Term): boolean {
  const status = getHealth(state, target).view?.status;
  return status !== undefined && compareTerms(status.fencedAt, term) > 0;
}

/** Whether a target answered when it was last asked. */
export function isHeard(state: FailoverState, target: string): boolean {
  const health = getHealth(state, target);
  return health.view !== undefined && health.missed === 0;
}

/** Whether targets enough for a majority answer this observer, the suspect not counted. */
export function hasMajority(state: FailoverState, suspect?: string): boolean {
  const heard = state.options.targets.filter((t) => t !== suspect && isHeard(state, t));
  return heard.length >= getMajority(state);
}

/** Whether this observer has lost the primary and has no standing to replace it. */
export function isCutOff({ phase }: FailoverState): boolean {
  return phase.type === "cutOff" || (phase.type === "suspecting" && phase.isCutOff);
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
export function findEqual(state: FailoverState, target: string): string | undefined {
  const mark = getHealth(state, target).view?.status.mark;
  if (mark === undefined) return undefined;
  return state.options.targets.find((t) => {
    const other = getHealth(state, t).view?.status.mark;
    if (t === target || other === undefined || !isHeard(state, t)) return false;
    return other.offset === mark.offset && compareTerms(other.term, mark.term) === 0;
  });
}
