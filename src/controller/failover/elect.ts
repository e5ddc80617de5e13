import {
  compareTerms,
  type ControlResult,
  openTerm,
  compareMarkOrder,
  succeed,
  type TargetStatus,
} from "../../model/index.js";
import type { ControlRequest, ElectionReason, FailoverEffect } from "./event.js";
import { hasMajority } from "./leader.js";
import { promotionTries } from "./options.js";
import { type FailoverState, getMajority, type Phase, type Step, withPhase } from "./state.js";
import { beginSteady } from "./tend.js";

type Fencing = Extract<Phase, { type: "fencing" }>;
type Promoting = Extract<Phase, { type: "promoting" }>;

/** Opens a new term and asks every target to be fenced at it, the suspect too. */
export function beginElection(
  state: FailoverState,
  reason: ElectionReason,
  at: number,
  suspect?: string,
): Step {
  const { opener, targets, timings } = state.options;
  const term = openTerm(opener, [state.highest]);
  const phase: Fencing = {
    type: "fencing",
    term,
    reason,
    until: at + timings.controlMs,
    ...(suspect === undefined ? {} : { suspect }),
    fenced: [],
    missed: [],
  };
  const fences = targets.map((target) => askControl(state, { type: "fence", target, term }));
  return succeed(withPhase({ ...state, highest: term }, phase), [
    { type: "note", note: { type: "fencing", term, reason } },
    ...fences,
  ]);
}

/** Takes the answer to a fence of the term under way. */
export function recordFence(
  state: FailoverState,
  phase: Fencing,
  target: string,
  result: ControlResult,
  at: number,
  draw: number,
): Step {
  switch (result.type) {
    case "accepted":
      return checkFenced(state, noteFenced(state, phase, result.status, at), at, draw);
    case "refused":
      return beginWaiting(state, `${target} is fenced by a rival`, at, draw, phase.suspect);
    case "unreachable":
      return checkFenced(state, { ...phase, missed: [...phase.missed, target] }, at, draw);
  }
}

function noteFenced(
  state: FailoverState,
  phase: Fencing,
  status: TargetStatus,
  at: number,
): Fencing {
  const fenced = [...phase.fenced.filter((s) => s.target !== status.target), status];
  const isEnough = fenced.length >= getMajority(state);
  const until = isEnough ? Math.min(phase.until, at + state.options.timings.gatherMs) : phase.until;
  return { ...phase, fenced, until };
}

function checkFenced(state: FailoverState, phase: Fencing, at: number, draw: number): Step {
  const { targets, safeguards } = state.options;
  const next = withPhase(state, phase);
  const isOpen = (target: string): boolean =>
    target !== phase.suspect &&
    !phase.missed.includes(target) &&
    !phase.fenced.some((s) => s.target === target);
  if (targets.some(isOpen) && safeguards.fenceMajority) return succeed(next);
  const required = safeguards.fenceMajority ? getMajority(state) : 1;
  if (phase.fenced.length >= required) return beginPromotion(next, phase, phase.fenced, at);
  const isHopeless = phase.fenced.length + phase.missed.length === targets.length;
  return isHopeless
    ? beginWaiting(next, "no majority was fenced", at, draw, phase.suspect)
    : succeed(next);
}

/** The time for fences is over: goes on with a majority, or waits. */
export function endFencing(state: FailoverState, phase: Fencing, at: number, draw: number): Step {
  if (phase.fenced.length >= getMajority(state)) {
    return beginPromotion(state, phase, phase.fenced, at);
  }
  return beginWaiting(state, "no majority was fenced in time", at, draw, phase.suspect);
}

/**
 * Of targets that hold equally much, one that is not on its way out; then the former primary, to
 * which everybody is connected; then the first by name, so that the choice can be foretold.
 */
export function chooseTarget(
  candidates: readonly TargetStatus[],
  leaving?: string,
): TargetStatus | undefined {
  const order = (a: TargetStatus, b: TargetStatus): number =>
    compareMarkOrder(b.mark, a.mark) ||
    Number(a.target === leaving) - Number(b.target === leaving) ||
    Number(b.role === "primary") - Number(a.role === "primary") ||
    (a.target < b.target ? -1 : 1);
  return [...candidates].sort(order)[0];
}

function beginPromotion(
  state: FailoverState,
  phase: { readonly term: Fencing["term"] },
  candidates: readonly TargetStatus[],
  at: number,
): Step {
  const choice = chooseTarget(candidates, state.switching?.target);
  if (choice === undefined) return succeed(state);
  const promoting: Promoting = {
    type: "promoting",
    term: phase.term,
    choice,
    others: candidates.filter((s) => s !== choice),
    tries: 0,
    until: 0,
  };
  const { term } = phase;
  const note = { type: "promoting", term, target: choice.target } as const;
  return askPromotion(state, promoting, at, [{ type: "note", note }]);
}

function askPromotion(
  state: FailoverState,
  phase: Promoting,
  at: number,
  before: readonly FailoverEffect[],
): Step {
  const { controlMs } = state.options.timings;
  const asked = { ...phase, tries: phase.tries + 1, until: at + controlMs };
  const request = { type: "promote", target: phase.choice.target, term: phase.term } as const;
  return succeed(withPhase(state, asked), [...before, askControl(state, request)]);
}

/** Takes the answer to the promotion under way. */
export function recordPromotion(
  state: FailoverState,
  phase: Promoting,
  result: ControlResult,
  at: number,
  draw: number,
): Step {
  switch (result.type) {
    case "accepted":
      return beginSteady(state, { primary: phase.choice.target, term: phase.term }, at);
    case "refused":
      return beginWaiting(state, `${phase.choice.target} is fenced by a rival`, at, draw);
    case "unreachable":
      return retryPromotion(state, phase, at);
  }
}

/**
 * A promotion without an answer may have happened, so the same target is asked again in the same
 * term, and after that a majority is fenced anew. Taking the next best of the old answers would
 * leave two primaries in one term, and a log that lacks what only the dead choice held and what was
 * acknowledged since; the new fencing shuts the first choice out and reads the logs as they are now.
 */
export function retryPromotion(state: FailoverState, phase: Promoting, at: number): Step {
  if (phase.tries < promotionTries) return askPromotion(state, phase, at, []);
  if (!state.options.safeguards.fenceAnew) return beginPromotion(state, phase, phase.others, at);
  return beginElection(state, "choiceFailed", at, phase.choice.target);
}

/** Waits with jitter, so that rivals do not meet again; each failure in a row doubles the wait. */
export function beginWaiting(
  state: FailoverState,
  why: string,
  at: number,
  draw: number,
  suspect?: string,
): Step {
  const { backoffMs, maxBackoffMs } = state.options.timings;
  const longest = Math.min(maxBackoffMs, backoffMs * 2 ** state.attempts);
  const waitMs = longest * (0.5 + draw);
  const phase: Phase = {
    type: "waiting",
    until: at + waitMs,
    ...(suspect === undefined ? {} : { suspect }),
  };
  const next = withPhase({ ...state, attempts: state.attempts + 1 }, phase);
  return succeed(next, [{ type: "note", note: { type: "backedOff", why, waitMs } }]);
}

/** The wait is over: elects when a majority answers, else waits again. */
export function endWaiting(
  state: FailoverState,
  phase: Extract<Phase, { type: "waiting" }>,
  at: number,
  draw: number,
): Step {
  if (!hasMajority(state)) {
    return beginWaiting(state, "no majority of targets answers", at, draw, phase.suspect);
  }
  const reason = phase.suspect === undefined ? "noPrimary" : "primaryFailed";
  return beginElection(state, reason, at, phase.suspect);
}

function askControl(state: FailoverState, request: ControlRequest): FailoverEffect {
  return { type: "control", request, timeoutMs: state.options.timings.controlMs };
}

/** Whether an answer belongs to the election under way. */
export function isCurrent(phase: Fencing | Promoting, request: ControlRequest): boolean {
  return compareTerms(phase.term, request.term) === 0;
}
