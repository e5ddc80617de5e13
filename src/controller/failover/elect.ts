import {
  compareTerms,
  type ControlResult,
  openTerm,
  orderMarks,
  succeed,
  type TargetStatus,
} from "../../model/index.js";
import type { ControlRequest, ElectionReason, FailoverEffect } from "./event.js";
import { hasResponsiveMajority } from "./leader.js";
import { maxPromotionAttempts } from "./options.js";
import {
  type FailoverState,
  getMajoritySize,
  type FailoverPhase,
  type Step,
  withPhase,
} from "./state.js";
import { beginSteady } from "./replicas.js";

type Fencing = Extract<FailoverPhase, { type: "fencing" }>;
type Promoting = Extract<FailoverPhase, { type: "promoting" }>;

/** Opens a new term and asks every target to be fenced at it, the suspect too. */
export function beginElection(
  state: FailoverState,
  reason: ElectionReason,
  at: number,
  suspect?: string,
): Step {
  const { promoterName, targets, timings } = state.options;
  const term = openTerm(promoterName, [state.highestTerm]);
  const phase: Fencing = {
    type: "fencing",
    term,
    reason,
    until: at + timings.controlTimeoutMs,
    ...(suspect === undefined ? {} : { suspect }),
    fenced: [],
    unreachable: [],
  };
  const fences = targets.map((target) =>
    buildControlEffect(state, { type: "fence", target, term }),
  );
  return succeed(withPhase({ ...state, highestTerm: term }, phase), [
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
      return evaluateFences(state, addFencedTarget(state, phase, result.status, at), at, draw);
    case "refused":
      return beginBackoff(state, `${target} is fenced by a rival`, at, draw, phase.suspect);
    case "unreachable":
      return evaluateFences(
        state,
        { ...phase, unreachable: [...phase.unreachable, target] },
        at,
        draw,
      );
  }
}

function addFencedTarget(
  state: FailoverState,
  phase: Fencing,
  status: TargetStatus,
  at: number,
): Fencing {
  const fenced = [...phase.fenced.filter((s) => s.target !== status.target), status];
  const isEnough = fenced.length >= getMajoritySize(state);
  const until = isEnough
    ? Math.min(phase.until, at + state.options.timings.extraFenceWaitMs)
    : phase.until;
  return { ...phase, fenced, until };
}

function evaluateFences(state: FailoverState, phase: Fencing, at: number, draw: number): Step {
  const { targets, safeguards } = state.options;
  const next = withPhase(state, phase);
  const isPending = (target: string): boolean =>
    target !== phase.suspect &&
    !phase.unreachable.includes(target) &&
    !phase.fenced.some((s) => s.target === target);
  if (targets.some(isPending) && safeguards.fenceMajority) return succeed(next);
  const required = safeguards.fenceMajority ? getMajoritySize(state) : 1;
  if (phase.fenced.length >= required) return beginPromotion(next, phase, phase.fenced, at);
  const hasEveryAnswer = phase.fenced.length + phase.unreachable.length === targets.length;
  return hasEveryAnswer
    ? beginBackoff(next, "no majority was fenced", at, draw, phase.suspect)
    : succeed(next);
}

/** The time for fences is over: goes on with a majority, or waits. */
export function expireFencing(
  state: FailoverState,
  phase: Fencing,
  at: number,
  draw: number,
): Step {
  if (phase.fenced.length >= getMajoritySize(state)) {
    return beginPromotion(state, phase, phase.fenced, at);
  }
  return beginBackoff(state, "no majority was fenced in time", at, draw, phase.suspect);
}

/**
 * Of targets that hold equally much, one that is not on its way out; then the former primary, to
 * which everybody is connected; then the first by name, so that the choice can be foretold.
 */
export function chooseCandidate(
  candidates: readonly TargetStatus[],
  leaving?: string,
): TargetStatus | undefined {
  const order = (a: TargetStatus, b: TargetStatus): number =>
    orderMarks(b.mark, a.mark) ||
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
  const candidate = chooseCandidate(candidates, state.plannedSwitch?.target);
  if (candidate === undefined) return succeed(state);
  const promoting: Promoting = {
    type: "promoting",
    term: phase.term,
    candidate,
    otherCandidates: candidates.filter((s) => s !== candidate),
    attempts: 0,
    until: 0,
  };
  const { term } = phase;
  const note = { type: "promoting", term, target: candidate.target } as const;
  return requestPromotion(state, promoting, at, [{ type: "note", note }]);
}

function requestPromotion(
  state: FailoverState,
  phase: Promoting,
  at: number,
  earlierEffects: readonly FailoverEffect[],
): Step {
  const { controlTimeoutMs } = state.options.timings;
  const requested = { ...phase, attempts: phase.attempts + 1, until: at + controlTimeoutMs };
  const request = { type: "promote", target: phase.candidate.target, term: phase.term } as const;
  return succeed(withPhase(state, requested), [
    ...earlierEffects,
    buildControlEffect(state, request),
  ]);
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
      return beginSteady(state, { primary: phase.candidate.target, term: phase.term }, at);
    case "refused":
      return beginBackoff(state, `${phase.candidate.target} is fenced by a rival`, at, draw);
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
  if (phase.attempts < maxPromotionAttempts) return requestPromotion(state, phase, at, []);
  if (!state.options.safeguards.refenceMajority)
    return beginPromotion(state, phase, phase.otherCandidates, at);
  return beginElection(state, "choiceFailed", at, phase.candidate.target);
}

/** Waits with jitter, so that rivals do not meet again; each failure in a row doubles the wait. */
export function beginBackoff(
  state: FailoverState,
  why: string,
  at: number,
  draw: number,
  suspect?: string,
): Step {
  const { initialBackoffMs, maxBackoffMs } = state.options.timings;
  const maxWaitMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** state.failedElections);
  const waitMs = maxWaitMs * (0.5 + draw);
  const phase: FailoverPhase = {
    type: "waiting",
    until: at + waitMs,
    ...(suspect === undefined ? {} : { suspect }),
  };
  const next = withPhase({ ...state, failedElections: state.failedElections + 1 }, phase);
  return succeed(next, [{ type: "note", note: { type: "backedOff", why, waitMs } }]);
}

/** The wait is over: elects when a majority answers, else waits again. */
export function endBackoff(
  state: FailoverState,
  phase: Extract<FailoverPhase, { type: "waiting" }>,
  at: number,
  draw: number,
): Step {
  if (!hasResponsiveMajority(state)) {
    return beginBackoff(state, "no majority of targets answers", at, draw, phase.suspect);
  }
  const reason = phase.suspect === undefined ? "noPrimary" : "primaryFailed";
  return beginElection(state, reason, at, phase.suspect);
}

function buildControlEffect(state: FailoverState, request: ControlRequest): FailoverEffect {
  return { type: "control", request, timeoutMs: state.options.timings.controlTimeoutMs };
}

/** Whether an answer belongs to the election under way. */
export function isCurrentElection(phase: Fencing | Promoting, request: ControlRequest): boolean {
  return compareTerms(phase.term, request.term) === 0;
}
