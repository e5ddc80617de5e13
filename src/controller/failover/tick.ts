import { succeed } from "../../model/index.js";
import { beginSuspicion, endSuspicion } from "./detect.js";
import { beginWaiting, beginElection, endFencing, endWaiting, retryPromotion } from "./elect.js";
import { isFencedPast, isHeard } from "./leader.js";
import {
  type FailoverState,
  findSilentAt,
  getHealth,
  type Phase,
  type Step,
  withPhase,
} from "./state.js";
import { tellReplicas } from "./tend.js";

type Steady = Extract<Phase, { type: "steady" }>;

/** When the state wants to be ticked next. */
export function findWakeAt(state: FailoverState): number {
  const { phase } = state;
  if (phase.type !== "steady") return phase.until;
  const silentAt = findSilentAt(state, phase.primary);
  if (phase.strayAt === undefined) return silentAt;
  return Math.min(silentAt, phase.strayAt + state.options.timings.settleMs);
}

/** Does what has become due. */
export function applyTick(state: FailoverState, at: number, draw: number): Step {
  const { phase } = state;
  if (phase.type === "steady") return handleSteady(state, phase, at);
  if (at < phase.until) return succeed(state);
  switch (phase.type) {
    case "searching":
      return endSearch(state, at, draw);
    case "suspecting":
      return endSuspicion(state, phase, at);
    case "cutOff":
      return beginSuspicion(state, phase, "still silent", at, { round: 1, isCutOff: true });
    case "waiting":
      return endWaiting(state, phase, at, draw);
    case "fencing":
      return endFencing(state, phase, at, draw);
    case "promoting":
      return retryPromotion(state, phase, at);
  }
}

function handleSteady(state: FailoverState, phase: Steady, at: number): Step {
  if (at >= findSilentAt(state, phase.primary)) {
    return beginSuspicion(state, phase, "no answer in time", at);
  }
  const stray = checkStray(state, phase, at);
  if (stray.phase.type === "steady" && isStrayDue(stray, stray.phase, at)) {
    return beginElection(stray, "strayFence", at);
  }
  return tellReplicas(stray, phase, at);
}

/**
 * A promoter that died after it had fenced a minority leaves a target that copies from nobody, and
 * one further failure would then stop the group. The fence can't be taken back, so after a while in
 * which a living rival would have come forward, a new term takes the target in again.
 */
function checkStray(state: FailoverState, phase: Steady, at: number): FailoverState {
  const { primary, term, strayAt } = phase;
  const { targets } = state.options;
  const isStray = targets.some((t) => isHeard(state, t) && isFencedPast(state, t, term));
  if (isStray === (strayAt !== undefined)) return state;
  return withPhase(state, { type: "steady", primary, term, ...(isStray ? { strayAt: at } : {}) });
}

function isStrayDue(state: FailoverState, phase: Steady, at: number): boolean {
  return phase.strayAt !== undefined && at >= phase.strayAt + state.options.timings.settleMs;
}

/** Some targets were not heard at the start: the likeliest primary among them is checked first. */
export function endSearch(state: FailoverState, at: number, draw: number): Step {
  const { targets } = state.options;
  const silent = targets.filter((t) => !isHeard(state, t));
  const heard = targets.flatMap((t) => getHealth(state, t).view?.status ?? []);
  const followed = heard.find((s) => s.follows !== undefined && silent.includes(s.follows));
  const suspect = followed?.follows ?? silent[0];
  if (suspect === undefined) return beginWaiting(state, "no target leads", at, draw);
  return beginSuspicion(state, { primary: suspect }, "not heard at the start", at);
}
