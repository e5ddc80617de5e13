import { type StepResult, compareTerms, fail, succeed } from "../../model/index.js";
import { applyAnswer, noteStatus } from "./answer.js";
import { beginSuspicion, recordFinding, recordMissedProbe } from "./detect.js";
import { isCurrent, recordFence, recordPromotion } from "./elect.js";
import type { FailoverEffect, FailoverEvent } from "./event.js";
import { type FailoverState, getHealth, type Step, withHealth, withTerm } from "./state.js";
import { applyTick } from "./tick.js";

type Controlled = Extract<FailoverEvent, { type: "controlled" }>;

/** Applies an event; fails when it speaks of a target that is not in the group. */
export function applyEvent(
  state: FailoverState,
  event: FailoverEvent,
): StepResult<FailoverState, FailoverEffect> {
  const target = findTarget(event);
  if (target !== undefined && !state.options.targets.includes(target)) {
    return fail(`${target} is not a target of ${state.options.group}`);
  }
  switch (event.type) {
    case "ticked":
      return applyTick(state, event.at, event.draw);
    case "answered":
      return applyAnswer(state, event);
    case "missed":
      return applyMiss(state, event.target, event.isFresh, event.at);
    case "hinted":
      return checkPrimary(state, event.target, "a connection broke", event.at);
    case "peersAnswered":
      if (!isSuspect(state, event.target)) return succeed(state);
      return recordFinding(state, state.phase, event.finding, event.at);
    case "controlled":
      return applyControl(state, event);
    case "switchAsked": {
      const until = event.at + state.options.timings.switchMs;
      return succeed({ ...state, switching: { target: event.target, until } });
    }
  }
}

function findTarget(event: FailoverEvent): string | undefined {
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

function applyMiss(state: FailoverState, target: string, isFresh: boolean, at: number): Step {
  const next = withHealth(state, target, { missed: getHealth(state, target).missed + 1 });
  if (isFresh && isSuspect(next, target)) return recordMissedProbe(next, next.phase, at);
  return checkPrimary(next, target, "its status connection broke", at);
}

function checkPrimary(state: FailoverState, target: string, why: string, at: number): Step {
  const { phase } = state;
  if (phase.type !== "steady" || phase.primary !== target) return succeed(state);
  return beginSuspicion(state, phase, why, at);
}

type Suspecting = FailoverState & { readonly phase: { readonly type: "suspecting" } };

function isSuspect(state: FailoverState, target: string): state is Suspecting {
  return state.phase.type === "suspecting" && state.phase.primary === target;
}

function applyControl(state: FailoverState, event: Controlled): Step {
  const next = noteResult(state, event);
  const { phase } = next;
  const { request, result, at, draw } = event;
  switch (request.type) {
    case "fence":
      if (phase.type === "fencing" && isCurrent(phase, request)) {
        return recordFence(next, phase, request.target, result, at, draw);
      }
      return result.type === "accepted" ? askToFollow(next, event) : succeed(next);
    case "promote":
      if (phase.type !== "promoting" || !isCurrent(phase, request)) return succeed(next);
      if (phase.choice.target !== request.target) return succeed(next);
      return recordPromotion(next, phase, result, at, draw);
    case "follow":
      return succeed(next);
  }
}

/** An answer to a control request is a status too, and a refusal tells of a term. */
function noteResult(state: FailoverState, event: Controlled): FailoverState {
  const { result } = event;
  switch (result.type) {
    case "accepted":
      return noteStatus(state, { ...event, status: result.status });
    case "refused":
      return withTerm(state, result.fencedAt);
    case "unreachable":
      return state;
  }
}

/** The old primary stands fenced: now it can follow. */
function askToFollow(state: FailoverState, { request, at }: Controlled): Step {
  const { phase, options } = state;
  if (phase.type !== "steady" || compareTerms(phase.term, request.term) !== 0)
    return succeed(state);
  if (phase.primary === request.target) return succeed(state);
  const { primary, term } = phase;
  const follow = { type: "follow", target: request.target, primary, term } as const;
  return succeed(withHealth(state, request.target, { toldAt: at }), [
    { type: "control", request: follow, timeoutMs: options.timings.controlMs },
  ]);
}
