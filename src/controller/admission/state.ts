import type { Priority } from "../../model/index.js";
import { addToClass, chargeTeam, removeFromClass } from "./queue.js";
import { putEntry, removeEntry } from "./tree.js";
import type { Admission, ClassQueue, RunningRequest, WaitingRequest } from "./types.js";

/** Replaces the queue of one priority class. */
export function withClass(admission: Admission, priority: Priority, queue: ClassQueue): Admission {
  if (admission.classes[priority] === queue) return admission;
  return { ...admission, classes: { ...admission.classes, [priority]: queue } };
}

/** Adds a request to the waiting ones. */
export function putWaiting(admission: Admission, waiting: WaitingRequest): Admission {
  const queue = addToClass(admission.classes[waiting.priority], waiting);
  const next = withClass(admission, waiting.priority, queue);
  return { ...next, waiting: putEntry(admission.waiting, waiting.id, waiting) };
}

/** Removes a request from the waiting ones. */
export function removeWaiting(admission: Admission, waiting: WaitingRequest): Admission {
  const queue = removeFromClass(admission.classes[waiting.priority], waiting);
  const next = withClass(admission, waiting.priority, queue);
  return { ...next, waiting: removeEntry(admission.waiting, waiting.id) };
}

/**
 * Corrects a team's start tag from the slot time that was charged in advance to the measured one.
 * Requests that started without waiting were not charged and are left out, except for statements of open
 * transactions.
 */
export function correctCharge(
  admission: Admission,
  running: RunningRequest,
  at: number,
): ClassQueue {
  const queue = admission.classes[running.priority];
  if (running.chargedMs === 0 && running.isResumed !== true) return queue;
  return chargeTeam(queue, running.team, at - running.startedAt - running.chargedMs, false);
}
