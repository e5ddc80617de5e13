import { assertInvariant, priorities, succeed, type StepResult } from "../../model/index.js";
import { chargeTeam, findNextRequest, hasWorkFor, isBackgroundWork } from "./queue.js";
import { startNextHeld } from "./hold.js";
import { checkWait, refuse } from "./refusal.js";
import { canRunBackground, hasFreeSlot, takeSlot } from "./slots.js";
import { removeWaiting, withClass } from "./state.js";
import { getEntry, putEntry } from "./tree.js";
import type { Admission, AdmissionEffect, RunningRequest, WaitingRequest } from "./types.js";

type StartResult = Extract<StepResult<Admission, AdmissionEffect, never>, { type: "applied" }>;

/**
 * Starts waiting requests on a target until it has no free slot or no suitable request is left.
 * Requests past their deadline are refused. Held requests that need a slot again go first.
 */
export function fillSlots(admission: Admission, target: string, at: number): StartResult {
  let state = admission;
  const effects: AdmissionEffect[] = [];
  for (;;) {
    const waiting = pickNextRequest(state, target);
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
  const isQueued = getEntry(admission.waiting, waiting.id) !== undefined;
  const running: RunningRequest = {
    id: waiting.id,
    target: name,
    team: waiting.team,
    priority: waiting.priority,
    isBackground,
    startedAt: at,
    chargedMs: isQueued ? target.serviceMs : 0,
    isAbandoned: false,
  };
  const dequeued = isQueued
    ? dequeueAndCharge(admission, waiting, name, target.serviceMs)
    : admission;
  const next = {
    ...dequeued,
    running: putEntry(dequeued.running, running.id, running),
    targets: { ...dequeued.targets, [name]: takeSlot(target, isBackground) },
  };
  return succeed(next, [{ type: "start", id: waiting.id, target: name }]);
}

/**
 * Picks the next request for a target: from a class with a full credit of its guaranteed share if
 * there is one, else from the most important class.
 */
function pickNextRequest(admission: Admission, name: string): WaitingRequest | undefined {
  const target = admission.targets[name];
  if (target === undefined || !hasFreeSlot(target)) return undefined;
  const isBackgroundAllowed = canRunBackground(target);
  const withCredit = priorities.filter((p) => admission.classes[p].credit >= 1);
  for (const priority of [...withCredit, ...priorities]) {
    const waiting = findNextRequest(admission.classes[priority], name, isBackgroundAllowed);
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
  target: string,
  serviceMs: number,
): Admission {
  const charged = chargeTeam(admission.classes[waiting.priority], waiting.team, serviceMs, true);
  let state = removeWaiting(withClass(admission, waiting.priority, charged), waiting);
  const below = priorities.slice(priorities.indexOf(waiting.priority) + 1);
  for (const priority of below) {
    const queue = state.classes[priority];
    if (queue.size === 0 || !hasWorkFor(queue, target)) continue;
    const credit = queue.credit + state.settings.guaranteedShare[priority];
    state = withClass(state, priority, { ...queue, credit: Math.min(1, credit) });
  }
  const served = state.classes[waiting.priority];
  const credit = Math.max(0, served.credit - 1);
  return withClass(state, waiting.priority, { ...served, credit });
}

function refuseExpired(admission: Admission, waiting: WaitingRequest, at: number): StartResult {
  const without = removeWaiting(admission, waiting);
  const { estimate } = checkWait(without, waiting, at);
  const queue = without.classes[waiting.priority];
  const refused = refuse(queue, waiting, "deadline", estimate, at);
  return succeed(withClass(without, waiting.priority, refused.queue), [refused.effect]);
}
