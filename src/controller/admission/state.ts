import type { Priority } from "../../model/index.js";
import { addToClass, chargeTeam, removeFromClass } from "./queue.js";
import { putEntry, removeEntry } from "./tree.js";
import type { Admission, ClassQueue, RunningRequest, WaitingRequest } from "./types.js";

/** The state with one class replaced. */
export function withClass(admission: Admission, priority: Priority, queue: ClassQueue): Admission {
  if (admission.classes[priority] === queue) return admission;
  return { ...admission, classes: { ...admission.classes, [priority]: queue } };
}

/** The state with a request in the queue. */
export function putWaiting(admission: Admission, waiting: WaitingRequest): Admission {
  const queue = addToClass(admission.classes[waiting.priority], waiting);
  const next = withClass(admission, waiting.priority, queue);
  return { ...next, waiting: putEntry(admission.waiting, waiting.id, waiting) };
}

/** The state without a request in the queue. */
export function removeWaiting(admission: Admission, waiting: WaitingRequest): Admission {
  const queue = removeFromClass(admission.classes[waiting.priority], waiting);
  const next = withClass(admission, waiting.priority, queue);
  return { ...next, waiting: removeEntry(admission.waiting, waiting.id) };
}

/** Replaces the slot time that a team was charged in advance by what its statement took. */
export function correctCharge(
  admission: Admission,
  running: RunningRequest,
  at: number,
): ClassQueue {
  const queue = admission.classes[running.priority];
  if (running.chargedMs === 0) return queue;
  return chargeTeam(queue, running.team, at - running.startedAt - running.chargedMs, false);
}
