import { assertInvariant, priorities, succeed, type Applied } from "../../model/index.js";
import { chargeTeam, findNext, hasWorkFor, isBackgroundWork } from "./queue.js";
import { checkWait, refuse } from "./refusal.js";
import { canRunBackground, hasFreeSlot, takeSlot } from "./slots.js";
import { dropWaiting, withClass } from "./state.js";
import { getEntry, putEntry } from "./tree.js";
import type { Admission, AdmissionEffect, Running, Waiting } from "./types.js";

type Started = Extract<Applied<Admission, AdmissionEffect, never>, { type: "applied" }>;

/** Starts what waits for a target until its slots are taken or nobody who may have one waits. */
export function fillSlots(admission: Admission, target: string, at: number): Started {
  let state = admission;
  const effects: AdmissionEffect[] = [];
  for (;;) {
    const waiting = pickNext(state, target);
    if (waiting === undefined) return succeed(state, effects);
    const step =
      waiting.deadlineAt <= at
        ? refuseLate(state, waiting, at)
        : startWaiting(state, waiting, target, at);
    state = step.state;
    effects.push(...step.effects);
  }
}

/** Starts a request on a target that has a slot for it. */
export function startWaiting(
  admission: Admission,
  waiting: Waiting,
  name: string,
  at: number,
): Started {
  const target = admission.targets[name];
  if (target === undefined) return succeed(admission);
  assertInvariant("noWorkForLeaving", hasFreeSlot(target), () => `${waiting.id} on full ${name}`);
  const isBackground = isBackgroundWork(waiting);
  const isQueued = getEntry(admission.waiting, waiting.id) !== undefined;
  const running: Running = {
    id: waiting.id,
    target: name,
    team: waiting.team,
    priority: waiting.priority,
    isBackground,
    startedAt: at,
    charged: isQueued ? target.serviceMs : 0,
    isAbandoned: false,
  };
  const settled = isQueued ? settleQueues(admission, waiting, name, target.serviceMs) : admission;
  const next = {
    ...settled,
    running: putEntry(settled.running, running.id, running),
    targets: { ...settled.targets, [name]: takeSlot(target, isBackground) },
  };
  return succeed(next, [{ type: "start", id: waiting.id, target: name }]);
}

/** The request that a target serves next: of a class that is owed a start, else by importance. */
function pickNext(admission: Admission, name: string): Waiting | undefined {
  const target = admission.targets[name];
  if (target === undefined || !hasFreeSlot(target)) return undefined;
  const isBackgroundAllowed = canRunBackground(target);
  const owed = priorities.filter((p) => admission.classes[p].credit >= 1);
  for (const priority of [...owed, ...priorities]) {
    const waiting = findNext(admission.classes[priority], name, isBackgroundAllowed);
    if (waiting !== undefined) return waiting;
  }
  return undefined;
}

/**
 * Takes a request out of the queue, charges its team, and gives the less important classes that the
 * target could have served their share of the start.
 */
function settleQueues(
  admission: Admission,
  waiting: Waiting,
  target: string,
  serviceMs: number,
): Admission {
  const charged = chargeTeam(admission.classes[waiting.priority], waiting.team, serviceMs, true);
  let state = dropWaiting(withClass(admission, waiting.priority, charged), waiting);
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

function refuseLate(admission: Admission, waiting: Waiting, at: number): Started {
  const without = dropWaiting(admission, waiting);
  const { estimate } = checkWait(without, waiting, at);
  const queue = without.classes[waiting.priority];
  const refused = refuse(queue, waiting, "deadline", estimate, at);
  return succeed(withClass(without, waiting.priority, refused.queue), [refused.effect]);
}
