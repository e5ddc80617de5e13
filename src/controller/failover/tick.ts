import { succeed } from "../../model/index.js";
import { beginSuspicion, expireSuspicion } from "./detect.js";
import { beginBackoff, beginElection, expireFencing, endBackoff, retryPromotion } from "./elect.js";
import { isFencedPast, isResponsive } from "./leader.js";
import {
  type FailoverState,
  findAnswerDeadline,
  getTargetHealth,
  type FailoverPhase,
  type Step,
  withPhase,
} from "./state.js";
import { redirectReplicas } from "./replicas.js";

type Steady = Extract<FailoverPhase, { type: "steady" }>;

/** The time at which the next `ticked` event is due. */
export function findWakeAt(state: FailoverState): number {
  const { phase } = state;
  if (phase.type !== "steady") return phase.until;
  const answerDeadline = findAnswerDeadline(state, phase.primary);
  if (phase.strayFenceSince === undefined) return answerDeadline;
  return Math.min(answerDeadline, phase.strayFenceSince + state.options.timings.strayFenceGraceMs);
}

/** Applies every timeout that is due at `at`. */
export function applyTick(state: FailoverState, at: number, draw: number): Step {
  const { phase } = state;
  if (phase.type === "steady") return tickSteady(state, phase, at);
  if (at < phase.until) return succeed(state);
  switch (phase.type) {
    case "searching":
      return endSearch(state, at, draw);
    case "suspecting":
      return expireSuspicion(state, phase, at);
    case "cutOff":
      return beginSuspicion(state, phase, "still no answer", at, {
        probeRound: 1,
        wasCutOff: true,
      });
    case "waiting":
      return endBackoff(state, phase, at, draw);
    case "fencing":
      return expireFencing(state, phase, at, draw);
    case "promoting":
      return retryPromotion(state, phase, at);
  }
}

function tickSteady(state: FailoverState, phase: Steady, at: number): Step {
  if (at >= findAnswerDeadline(state, phase.primary)) {
    return beginSuspicion(state, phase, "no status answer within the timeout", at);
  }
  const tracked = trackStrayFence(state, phase, at);
  if (tracked.phase.type === "steady" && isStrayFenceDue(tracked, tracked.phase, at)) {
    return beginElection(tracked, "strayFence", at);
  }
  return redirectReplicas(tracked, phase, at);
}

/**
 * Tracks since when a target has been fenced past the current term. A promoter that fails after it
 * has fenced a minority leaves a target that replicates from no primary, and one further failure
 * would stop the group. A fence can't be undone. After a grace period, in which a live rival would
 * have completed its election, a new term lets the target rejoin.
 */
function trackStrayFence(state: FailoverState, phase: Steady, at: number): FailoverState {
  const { primary, term, strayFenceSince } = phase;
  const { targets } = state.options;
  const hasStrayFence = targets.some((t) => isResponsive(state, t) && isFencedPast(state, t, term));
  if (hasStrayFence === (strayFenceSince !== undefined)) return state;
  return withPhase(state, {
    type: "steady",
    primary,
    term,
    ...(hasStrayFence ? { strayFenceSince: at } : {}),
  });
}

function isStrayFenceDue(state: FailoverState, phase: Steady, at: number): boolean {
  return (
    phase.strayFenceSince !== undefined &&
    at >= phase.strayFenceSince + state.options.timings.strayFenceGraceMs
  );
}

/** Checks the likeliest primary among the targets that have not answered since the start. */
export function endSearch(state: FailoverState, at: number, draw: number): Step {
  const { targets } = state.options;
  const silent = targets.filter((t) => !isResponsive(state, t));
  const statuses = targets.flatMap((t) => getTargetHealth(state, t).view?.status ?? []);
  const follower = statuses.find((s) => s.follows !== undefined && silent.includes(s.follows));
  const suspect = follower?.follows ?? silent[0];
  if (suspect === undefined) return beginBackoff(state, "no target is primary", at, draw);
  return beginSuspicion(state, { primary: suspect }, "no answer since the start", at);
}
