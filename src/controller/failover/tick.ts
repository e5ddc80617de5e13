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

/** When the state wants to be ticked next. */
export function findWakeAt(state: FailoverState): number {
  const { phase } = state;
  if (phase.type !== "steady") return phase.until;
  const answerDeadline = findAnswerDeadline(state, phase.primary);
  if (phase.strayFenceSince === undefined) return answerDeadline;
  return Math.min(answerDeadline, phase.strayFenceSince + state.options.timings.strayFenceGraceMs);
}

/** Does what has become due. */
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
      return beginSuspicion(state, phase, "still silent", at, { probeRound: 1, wasCutOff: true });
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
    return beginSuspicion(state, phase, "no answer in time", at);
  }
  const tracked = trackStrayFence(state, phase, at);
  if (tracked.phase.type === "steady" && isStrayFenceDue(tracked, tracked.phase, at)) {
    return beginElection(tracked, "strayFence", at);
  }
  return redirectReplicas(tracked, phase, at);
}

/**
 * A promoter that died after it had fenced a minority leaves a target that copies from nobody, and
 * one further failure would then stop the group. The fence can't be taken back, so after a while in
 * which a living rival would have come forward, a new term takes the target in again.
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

/** Some targets were not heard at the start: the likeliest primary among them is checked first. */
export function endSearch(state: FailoverState, at: number, draw: number): Step {
  const { targets } = state.options;
  const silent = targets.filter((t) => !isResponsive(state, t));
  const statuses = targets.flatMap((t) => getTargetHealth(state, t).view?.status ?? []);
  const follower = statuses.find((s) => s.follows !== undefined && silent.includes(s.follows));
  const suspect = follower?.follows ?? silent[0];
  if (suspect === undefined) return beginBackoff(state, "no target leads", at, draw);
  return beginSuspicion(state, { primary: suspect }, "not heard at the start", at);
}
