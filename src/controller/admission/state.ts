import { findClassName, getClass, insertClass } from "./classes.js";
import { addToClass, chargeTeam, removeFromClass } from "./queue.js";
import { putEntry, removeEntry } from "./tree.js";
import type { Admission, ClassName, ClassQueue, RunningRequest, WaitingRequest } from "./types.js";

/** Replaces the queue of one class. */
export function withClass(admission: Admission, name: ClassName, queue: ClassQueue): Admission {
  if (admission.classes[name] === queue) return admission;
  const order = insertClass(admission.order, name);
  return { ...admission, order, classes: { ...admission.classes, [name]: queue } };
}

/** Adds a request to the waiting ones. */
export function putWaiting(admission: Admission, waiting: WaitingRequest): Admission {
  const name = findClassName(waiting);
  const next = withClass(admission, name, addToClass(getClass(admission, name), waiting));
  return { ...next, waiting: putEntry(admission.waiting, waiting.id, waiting) };
}

/** Removes a request from the waiting ones. */
export function removeWaiting(admission: Admission, waiting: WaitingRequest): Admission {
  const name = findClassName(waiting);
  const next = withClass(admission, name, removeFromClass(getClass(admission, name), waiting));
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
  const queue = getClass(admission, running.className);
  if (running.chargedMs === 0 && running.isResumed !== true) return queue;
  return chargeTeam(queue, running.team, at - running.startedAt - running.chargedMs, false);
}
