import { compareTerms, compareMarkOrder, succeed, type TargetView } from "../../model/index.js";
import { beginWaiting, beginElection } from "./elect.js";
import type { FailoverEvent } from "./event.js";
import {
  findEqual,
  findLeadership,
  hasDouble,
  isHeard,
  isLeading,
  isSuperseded,
} from "./leader.js";
import { latenessDecay } from "./options.js";
import {
  type FailoverState,
  getHealth,
  type Leadership,
  type Step,
  type Suspect,
  withHealth,
  withTerm,
} from "./state.js";
import { beginSteady, keepSteady, tellReplicas } from "./tend.js";
import { endSearch } from "./tick.js";

type Answer = Extract<FailoverEvent, { type: "answered" }>;

/** Takes in what a target says of itself. */
export function applyAnswer(state: FailoverState, event: Answer): Step {
  const next = noteStatus(state, event);
  const status = getHealth(next, event.status.target).view?.status ?? event.status;
  if (isLeading(status) && !isSuperseded(next, status.mark.term)) {
    if (hasDouble(next, status)) return endDouble(next, event);
    return takeLeader(next, { primary: status.target, term: status.mark.term }, event.at);
  }
  const leadership = findLeadership(next);
  if (leadership === undefined) return checkSearch(next, event);
  const isDeposed = leadership.primary === status.target && !isLeading(status);
  if (isDeposed || isSuperseded(next, leadership.term)) {
    return beginWaiting(next, `${leadership.primary} was superseded`, event.at, event.draw);
  }
  return next.phase.type === "steady" ? checkSteady(next, leadership, event.at) : succeed(next);
}

/** Keeps a status, unless a newer one is known already. */
export function noteStatus(state: FailoverState, event: Omit<Answer, "type">): FailoverState {
  const { status, askedAt, at } = event;
  const { view, latenessMs } = getHealth(state, status.target);
  const isNewer = view === undefined || !isOlder(event, view);
  const kept = isNewer ? { status, askedAt, answeredAt: at } : { ...view, answeredAt: at };
  const known = withHealth(state, status.target, {
    view: { ...kept, missedProbes: 0 },
    missed: 0,
    latenessMs: Math.max(event.latenessMs ?? 0, latenessMs * latenessDecay),
  });
  return withTerm(withTerm(known, status.fencedAt), status.mark.term);
}

/**
 * Answers of two connections can arrive in the wrong order. Fences only grow; at one fence a log
 * shrinks only when the target is told to follow, so a lesser log is old where it was asked for
 * earlier. An old status taken for a new one would revive a primary that was fenced.
 */
function isOlder(event: Pick<Answer, "status" | "askedAt">, known: TargetView): boolean {
  const byFence = compareTerms(event.status.fencedAt, known.status.fencedAt);
  if (byFence !== 0) return byFence < 0;
  return (
    event.askedAt < known.askedAt && compareMarkOrder(event.status.mark, known.status.mark) < 0
  );
}

/** A target leads, and no majority is known to be fenced past it. */
function takeLeader(state: FailoverState, found: Leadership, at: number): Step {
  const { phase } = state;
  switch (phase.type) {
    case "searching":
    case "waiting":
      return beginSteady(state, found, at);
    case "steady":
      if (compareTerms(found.term, phase.term) > 0) return beginSteady(state, found, at);
      return checkSteady(state, phase, at);
    case "suspecting":
    case "cutOff":
      return closeSuspicion(state, phase, found, at);
    case "fencing":
    case "promoting":
      if (compareTerms(found.term, phase.term) < 0) return succeed(state);
      return beginSteady(state, found, at);
  }
}

/** Two targets lead one term: an election leaves one of them, with the longer log. */
function endDouble(state: FailoverState, { at, draw }: Answer): Step {
  switch (state.phase.type) {
    case "searching":
    case "steady":
    case "suspecting":
    case "cutOff":
      return beginWaiting(state, "two targets lead one term", at, draw);
    case "waiting":
    case "fencing":
    case "promoting":
      return succeed(state);
  }
}

/** The suspect itself has answered, or a newer primary has. */
function closeSuspicion(
  state: FailoverState,
  suspected: Suspect,
  found: Leadership,
  at: number,
): Step {
  const { term } = suspected;
  if (term !== undefined && compareTerms(found.term, term) < 0) return succeed(state);
  const isSame = term !== undefined && compareTerms(found.term, term) === 0;
  const steady = isSame ? keepSteady(state, found, at) : beginSteady(state, found, at);
  const target = suspected.primary;
  return succeed(steady.state, [
    { type: "note", note: { type: "cleared", target } },
    { type: "renew", target },
    ...steady.effects,
  ]);
}

/** What is due with a steady primary after any answer: replicas astray, a switch that can be made. */
function checkSteady(state: FailoverState, leadership: Leadership, at: number): Step {
  if (state.switching?.target === leadership.primary) {
    const equal = findEqual(state, leadership.primary);
    if (equal !== undefined) return beginElection(state, "plannedSwitch", at);
  }
  return tellReplicas(state, leadership, at);
}

/**
 * With every target heard and none leading there is nothing left to wait for. A target that was
 * suspected at the start to be the primary, and answers that it is not, leaves the others to check.
 */
function checkSearch(state: FailoverState, { at, draw, status }: Answer): Step {
  const { phase } = state;
  const isSuspect =
    (phase.type === "suspecting" || phase.type === "cutOff") && phase.primary === status.target;
  if (isSuspect) return endSearch(state, at, draw);
  const isKnown = state.options.targets.every((target) => isHeard(state, target));
  if (phase.type !== "searching" || !isKnown) return succeed(state);
  return beginWaiting(state, "no target leads", at, draw);
}
