import { type StepResult, compareTerms, fail, succeed } from "../../model/index.js";
import { applyAnswer, recordStatus } from "./answer.js";
import { beginSuspicion, recordPeerFinding, recordMissedProbe } from "./detect.js";
import { isCurrentElection, recordFence, recordPromotion } from "./elect.js";
import type { FailoverEffect, FailoverEvent } from "./event.js";
import {
  type FailoverState,
  getTargetHealth,
  type Step,
  withTargetHealth,
  withObservedTerm,
} from "./state.js";
import { applyTick } from "./tick.js";

type ControlledEvent = Extract<FailoverEvent, { type: "controlled" }>;

/** Applies an event. Fails when it names a target that is not in the group. */
export function applyEvent(
  state: FailoverState,
  event: FailoverEvent,
): StepResult<FailoverState, FailoverEffect> {
  const target = findEventTarget(event);
  if (target !== undefined && !state.options.targets.includes(target)) {
    return fail(`${target} is not a target of group ${state.options.group}`);
  }
  switch (event.type) {
    case "ticked":
      return applyTick(state, event.at, event.draw);
    case "answered":
      return applyAnswer(state, event);
    case "missed":
      return applyMissedAnswer(state, event.target, event.isFresh, event.at);
    case "hinted":
      return suspectPrimary(state, event.target, "a connection to it broke", event.at);
    case "peersAnswered":
      if (!isUnderSuspicion(state, event.target)) return succeed(state);
      return recordPeerFinding(state, state.phase, event.finding, event.at);
    case "controlled":
      return applyControlResult(state, event);
    case "switchAsked": {
      const until = event.at + state.options.timings.switchTimeoutMs;
      return succeed({ ...state, plannedSwitch: { target: event.target, until } });
    }
  }
}

function findEventTarget(event: FailoverEvent): string | undefined {
  switch (event.type) {
    case "ticked":
      return undefined;
    case "answered":
      return event.status.target;
    case "controlled":
      return event.request.target;
    case "missed":
    case "hinted":
    case "peersAnswered":
    case "switchAsked":
      return event.target;
  }
}

function applyMissedAnswer(
  state: FailoverState,
  target: string,
  isFresh: boolean,
  at: number,
): Step {
  const next = withTargetHealth(state, target, {
    missedAnswers: getTargetHealth(state, target).missedAnswers + 1,
  });
  if (isFresh && isUnderSuspicion(next, target)) return recordMissedProbe(next, next.phase, at);
  return suspectPrimary(next, target, "its status connection broke", at);
}

function suspectPrimary(state: FailoverState, target: string, why: string, at: number): Step {
  const { phase } = state;
  if (phase.type !== "steady" || phase.primary !== target) return succeed(state);
  return beginSuspicion(state, phase, why, at);
}

type Suspecting = FailoverState & { readonly phase: { readonly type: "suspecting" } };

function isUnderSuspicion(state: FailoverState, target: string): state is Suspecting {
  return state.phase.type === "suspecting" && state.phase.primary === target;
}

function applyControlResult(state: FailoverState, event: ControlledEvent): Step {
  const next = recordControlResult(state, event);
  const { phase } = next;
  const { request, result, at, draw } = event;
  switch (request.type) {
    case "fence":
      if (phase.type === "fencing" && isCurrentElection(phase, request)) {
        return recordFence(next, phase, request.target, result, at, draw);
      }
      return result.type === "accepted" ? requestFollow(next, event) : succeed(next);
    case "promote":
      if (phase.type !== "promoting" || !isCurrentElection(phase, request)) return succeed(next);
      if (phase.candidate.target !== request.target) return succeed(next);
      return recordPromotion(next, phase, result, at, draw);
    case "follow":
      return succeed(next);
  }
}

/** Records the status in an accepted control request, or the term in a refusal. */
function recordControlResult(state: FailoverState, event: ControlledEvent): FailoverState {
  const { result } = event;
  switch (result.type) {
    case "accepted":
      return recordStatus(state, { ...event, status: result.status });
    case "refused":
      return withObservedTerm(state, result.fencedAt);
    case "unreachable":
      return state;
  }
}

/** Sends a fenced old primary the request to follow the current one. */
function requestFollow(state: FailoverState, { request, at }: ControlledEvent): Step {
  const { phase, options } = state;
  if (phase.type !== "steady" || compareTerms(phase.term, request.term) !== 0)
    return succeed(state);
  if (phase.primary === request.target) return succeed(state);
  const { primary, term } = phase;
  const follow = { type: "follow", target: request.target, primary, term } as const;
  return succeed(withTargetHealth(state, request.target, { followRequestedAt: at }), [
    { type: "control", request: follow, timeoutMs: options.timings.controlTimeoutMs },
  ]);
}
