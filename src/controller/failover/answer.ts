import { compareTerms, compareMarkOrder, succeed, type TargetView } from "../../model/index.js";
import { beginBackoff, beginElection } from "./elect.js";
import type { FailoverEvent } from "./event.js";
import {
  findCaughtUpReplica,
  findLeadership,
  hasRivalPrimary,
  isResponsive,
  isLeading,
  isSuperseded,
} from "./leader.js";
import { latenessDecay } from "./options.js";
import {
  type FailoverState,
  getTargetHealth,
  type Leadership,
  type Step,
  type Suspect,
  withTargetHealth,
  withObservedTerm,
} from "./state.js";
import { beginSteady, resumeSteady, redirectReplicas } from "./replicas.js";
import { endSearch } from "./tick.js";

type AnsweredEvent = Extract<FailoverEvent, { type: "answered" }>;

/** Applies a target's status answer. */
export function applyAnswer(state: FailoverState, event: AnsweredEvent): Step {
  const next = recordStatus(state, event);
  const status = getTargetHealth(next, event.status.target).view?.status ?? event.status;
  if (isLeading(status) && !isSuperseded(next, status.mark.term)) {
    if (hasRivalPrimary(next, status)) return resolveRivalPrimaries(next, event);
    return acceptLeader(next, { primary: status.target, term: status.mark.term }, event.at);
  }
  const leadership = findLeadership(next);
  if (leadership === undefined) return continueSearch(next, event);
  const hasLostRole = leadership.primary === status.target && !isLeading(status);
  if (hasLostRole || isSuperseded(next, leadership.term)) {
    return beginBackoff(next, `${leadership.primary} was superseded`, event.at, event.draw);
  }
  return next.phase.type === "steady" ? maintainSteady(next, leadership, event.at) : succeed(next);
}

/** Records a status unless a newer one is already known, and resets the missed answers. */
export function recordStatus(
  state: FailoverState,
  event: Omit<AnsweredEvent, "type">,
): FailoverState {
  const { status, askedAt, at } = event;
  const { view, latenessMs } = getTargetHealth(state, status.target);
  const isNewer = view === undefined || !isOlderThanKnown(event, view);
  const kept = isNewer ? { status, askedAt, answeredAt: at } : { ...view, answeredAt: at };
  const known = withTargetHealth(state, status.target, {
    view: { ...kept, missedProbes: 0 },
    missedAnswers: 0,
    latenessMs: Math.max(event.latenessMs ?? 0, latenessMs * latenessDecay),
  });
  return withObservedTerm(withObservedTerm(known, status.fencedAt), status.mark.term);
}

/**
 * Whether a status is older than the known one. Answers on two connections can arrive out of order.
 * Fences only grow. At one fence a log is truncated only when the target is asked to follow, so the
 * shorter log is the older one if it was requested earlier. Taking an old status for a new one
 * would restore a primary that has been fenced.
 */
function isOlderThanKnown(
  event: Pick<AnsweredEvent, "status" | "askedAt">,
  known: TargetView,
): boolean {
  const byFence = compareTerms(event.status.fencedAt, known.status.fencedAt);
  if (byFence !== 0) return byFence < 0;
  return (
    event.askedAt < known.askedAt && compareMarkOrder(event.status.mark, known.status.mark) < 0
  );
}

/** Handles a target that is primary in a term that no majority is known to be fenced past. */
function acceptLeader(state: FailoverState, found: Leadership, at: number): Step {
  const { phase } = state;
  switch (phase.type) {
    case "searching":
    case "waiting":
      return beginSteady(state, found, at);
    case "steady":
      if (compareTerms(found.term, phase.term) > 0) return beginSteady(state, found, at);
      return maintainSteady(state, phase, at);
    case "suspecting":
    case "cutOff":
      return clearSuspicion(state, phase, found, at);
    case "fencing":
    case "promoting":
      if (compareTerms(found.term, phase.term) < 0) return succeed(state);
      return beginSteady(state, found, at);
  }
}

/**
 * Backs off when two targets are primary in one term. The election that follows keeps the one with
 * the longer log.
 */
function resolveRivalPrimaries(state: FailoverState, { at, draw }: AnsweredEvent): Step {
  switch (state.phase.type) {
    case "searching":
    case "steady":
    case "suspecting":
    case "cutOff":
      return beginBackoff(state, "two targets are primary in one term", at, draw);
    case "waiting":
    case "fencing":
    case "promoting":
      return succeed(state);
  }
}

/** Ends a suspicion when the suspect or a newer primary answers. */
function clearSuspicion(
  state: FailoverState,
  suspected: Suspect,
  found: Leadership,
  at: number,
): Step {
  const { term } = suspected;
  if (term !== undefined && compareTerms(found.term, term) < 0) return succeed(state);
  const isSame = term !== undefined && compareTerms(found.term, term) === 0;
  const steady = isSame ? resumeSteady(state, found, at) : beginSteady(state, found, at);
  const target = suspected.primary;
  return succeed(steady.state, [
    { type: "note", note: { type: "cleared", target } },
    { type: "renew", target },
    ...steady.effects,
  ]);
}

/** Starts a planned switch that has become possible, or redirects replicas, after any answer. */
function maintainSteady(state: FailoverState, leadership: Leadership, at: number): Step {
  if (state.plannedSwitch?.target === leadership.primary) {
    const replica = findCaughtUpReplica(state, leadership.primary);
    if (replica !== undefined) return beginElection(state, "plannedSwitch", at);
  }
  return redirectReplicas(state, leadership, at);
}

/**
 * Continues the search for a primary. Once every target has answered and none is primary, it backs
 * off for an election. If the suspected primary answers that it is a replica, the remaining silent
 * targets are checked.
 */
function continueSearch(state: FailoverState, { at, draw, status }: AnsweredEvent): Step {
  const { phase } = state;
  const isSuspect =
    (phase.type === "suspecting" || phase.type === "cutOff") && phase.primary === status.target;
  if (isSuspect) return endSearch(state, at, draw);
  const isEveryTargetResponsive = state.options.targets.every((target) =>
    isResponsive(state, target),
  );
  if (phase.type !== "searching" || !isEveryTargetResponsive) return succeed(state);
  return beginBackoff(state, "no target is primary", at, draw);
}
