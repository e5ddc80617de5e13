import { assertInvariant, succeed, type StepResult } from "../../model/index.js";
import { findClassName, findGuaranteedShare, getClass, listClassesBelow } from "./classes.js";
import { startNextHeld } from "./hold.js";
import { makeTimeKey } from "./objective.js";
import { chargeTeam, findNextRequest, hasWorkFor, isBackgroundWork, recordTurn } from "./queue.js";
import { checkWait, refuse } from "./refusal.js";
import { canRunBackground, hasFreeSlot, takeSlot } from "./slots.js";
import { removeWaiting, withClass } from "./state.js";
import { getEntry, putEntry } from "./tree.js";
import type {
  Admission,
  AdmissionEffect,
  ClassName,
  RunningRequest,
  TargetSlots,
  WaitingRequest,
} from "./types.js";

type StartResult = Extract<StepResult<Admission, AdmissionEffect, never>, { type: "applied" }>;

/**
 * Starts waiting requests on a target until it has no free slot or no suitable request is left.
 * Requests past their deadline are refused. Held requests that need a slot again go first.
 */
export function fillSlots(admission: Admission, target: string, at: number): StartResult {
  let state = admission;
  const effects: AdmissionEffect[] = [];
  for (;;) {
    const waiting = pickNextRequest(state, target, at);
    const resumed = startNextHeld(state, target, waiting !== undefined, at);
    if (resumed !== undefined) {
      state = resumed.state;
      effects.push(...resumed.effects);
      continue;
    }
    if (waiting === undefined) return succeed(state, effects);
    const result =
      waiting.deadlineAt <= at
        ? refuseExpired(state, waiting, at)
        : startWaiting(state, waiting, target, at);
    state = result.state;
    effects.push(...result.effects);
  }
}

/** Starts a waiting or just arrived request on a target, which must have a free slot. */
export function startWaiting(
  admission: Admission,
  waiting: WaitingRequest,
  name: string,
  at: number,
): StartResult {
  const target = admission.targets[name];
  if (target === undefined) return succeed(admission);
  assertInvariant(
    "noWorkForLeaving",
    hasFreeSlot(target),
    () => `request ${waiting.id} started on target ${name}, which has no free slot`,
  );
  const isBackground = isBackgroundWork(waiting);
  const className = findClassName(waiting);
  const lackingLast = recordLacking(target.lackingLast, className, waiting.lacksReplica === true);
  const isQueued = getEntry(admission.waiting, waiting.id) !== undefined;
  const running: RunningRequest = {
    id: waiting.id,
    target: name,
    team: waiting.team,
    className,
    isBackground,
    startedAt: at,
    chargedMs: isQueued ? target.serviceMs : 0,
    isAbandoned: false,
  };
  const dequeued = isQueued ? dequeueAndCharge(admission, waiting, target, at) : admission;
  const next = {
    ...dequeued,
    running: putEntry(dequeued.running, running.id, running),
    targets: { ...dequeued.targets, [name]: { ...takeSlot(target, isBackground), lackingLast } },
  };
  return succeed(next, [{ type: "start", id: waiting.id, target: name }]);
}

/** Records by class, so that starts of other classes do not use up the turn of a class's writes. */
function recordLacking(
  lackingLast: readonly ClassName[],
  className: ClassName,
  isLacking: boolean,
): readonly ClassName[] {
  if (lackingLast.includes(className) === isLacking) return lackingLast;
  return isLacking ? [...lackingLast, className] : lackingLast.filter((c) => c !== className);
}

/**
 * Picks the next request for a target: from a class with a full credit of its guaranteed share if
 * there is one, else from the most important class. Within a class the start after one of a read that lacks a replica
 * belongs to other work, if any waits: otherwise a burst of such reads, which replicas serve at other times, would
 * delay the writes, which only the primary serves.
 */
function pickNextRequest(
  admission: Admission,
  name: string,
  at: number,
): WaitingRequest | undefined {
  const target = admission.targets[name];
  if (target === undefined || !hasFreeSlot(target)) return undefined;
  const rules = {
    target: name,
    isBackgroundAllowed: canRunBackground(target),
    isLackingAllowed: true,
    inTimeFrom: makeTimeKey(at + target.serviceMs),
    levelOrder: admission.settings.levelOrder,
  };
  const withCredit = admission.order.filter((c) => getClass(admission, c).credit >= 1);
  for (const className of [...withCredit, ...admission.order]) {
    const queue = getClass(admission, className);
    const other = target.lackingLast.includes(className)
      ? findNextRequest(queue, { ...rules, isLackingAllowed: false })
      : undefined;
    const waiting = other ?? findNextRequest(queue, rules);
    if (waiting !== undefined) return waiting;
  }
  return undefined;
}

/**
 * Removes a request from the queue and charges its team. Each less important class that has a
 * waiting request for the target is credited with its guaranteed share of the start.
 */
function dequeueAndCharge(
  admission: Admission,
  waiting: WaitingRequest,
  { target, serviceMs }: TargetSlots,
  at: number,
): Admission {
  const name = findClassName(waiting);
  const recorded = recordTurn(getClass(admission, name), waiting, at + serviceMs);
  const charged = chargeTeam(recorded, waiting.team, serviceMs, true);
  let state = removeWaiting(withClass(admission, name, charged), waiting);
  for (const lower of listClassesBelow(state, name)) {
    const queue = getClass(state, lower);
    if (queue.size === 0 || !hasWorkFor(queue, target)) continue;
    const credit = queue.credit + findGuaranteedShare(state, lower);
    state = withClass(state, lower, { ...queue, credit: Math.min(1, credit) });
  }
  const served = getClass(state, name);
  const credit = Math.max(0, served.credit - 1);
  return withClass(state, name, { ...served, credit });
}

function refuseExpired(admission: Admission, waiting: WaitingRequest, at: number): StartResult {
  const without = removeWaiting(admission, waiting);
  const { estimate } = checkWait(without, waiting, at);
  const name = findClassName(waiting);
  const refused = refuse(getClass(without, name), waiting, "deadline", estimate, at);
  return succeed(withClass(without, name, refused.queue), [refused.effect]);
}
