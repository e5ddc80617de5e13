import {
  compareTerms,
  type ControlResult,
  openTerm,
  compareMarkOrder,
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

/** Opens a new term and sends a fence request for it to every target, including the suspect. */
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

/** Records the answer to a fence request of the current election. */
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

/** Ends the fencing at its timeout: promotes if a majority is fenced, otherwise backs off. */
export function expireFencing(
  state: FailoverState,
  phase: Fencing,
  at: number,
  draw: number,
): Step {
  if (phase.fenced.length >= getMajoritySize(state)) {
    return beginPromotion(state, phase, phase.fenced, at);
  }
  return beginBackoff(state, "no majority was fenced within the timeout", at, draw, phase.suspect);
}

/**
 * Chooses the target with the latest log. Among equals it prefers one that is not `leaving`, then
 * the former primary, since clients are already connected to it, then the first by name, which
 * makes the choice deterministic.
 */
export function chooseCandidate(
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

/** Records the answer to the promote request of the current election. */
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
 * Repeats a promotion that had no answer, in the same term and to the same target, since it may
 * have taken effect. After `maxPromotionAttempts`, a majority is fenced again at a new term.
 * Promoting the next candidate from the old answers could leave two primaries in one term, and a
 * log that lacks records that only the first candidate has and that were acknowledged since. The
 * new fence excludes the first candidate and reads the current logs.
 */
export function retryPromotion(state: FailoverState, phase: Promoting, at: number): Step {
  if (phase.attempts < maxPromotionAttempts) return requestPromotion(state, phase, at, []);
  if (!state.options.safeguards.refenceMajority)
    return beginPromotion(state, phase, phase.otherCandidates, at);
  return beginElection(state, "choiceFailed", at, phase.candidate.target);
}

/**
 * Backs off before the next election. The jitter keeps rivals from colliding again, and each
 * consecutive failure doubles the delay.
 */
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

/** Ends a backoff: holds an election if a majority is responsive, otherwise backs off again. */
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

/** Whether a request belongs to the current election. */
export function isCurrentElection(phase: Fencing | Promoting, request: ControlRequest): boolean {
  return compareTerms(phase.term, request.term) === 0;
}
