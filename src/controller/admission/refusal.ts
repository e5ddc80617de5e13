import type { Admission, AdmissionEffect, ClassQueue, Waiting } from "./types.js";
import { findCarefulWait, measureWait, type WaitEstimate } from "./wait.js";

type Refusal = Extract<AdmissionEffect, { type: "refuse" }>;

const shortestRetryMs = 10;
const longestRetryMs = 10_000;
/** Told where nothing is known of when a target will serve again. */
const unknownRetryMs = 1000;

/** The longest that a request may still wait: by its rule, and so that it ends before its deadline. */
export function findPatience(waiting: Waiting, serviceMs: number, at: number): number {
  const byRule = waiting.arrivedAt + waiting.maxQueueMs - at;
  return Math.min(byRule, waiting.deadlineAt - serviceMs - at);
}

/** Why a request that would wait this long must go, or `undefined` when it may stay. */
export function findRefusal(
  admission: Admission,
  waiting: Waiting,
  estimate: WaitEstimate,
  at: number,
): Refusal["reason"] | undefined {
  if (estimate.waitMs === Infinity) return findOutage(admission, waiting);
  const patience = findPatience(waiting, estimate.serviceMs, at);
  const isPastDeadline = waiting.deadlineAt <= at + estimate.serviceMs && estimate.waitMs > 0;
  if (waiting.deadlineAt <= at || isPastDeadline) return "deadline";
  if (estimate.waitMs <= Math.max(0, patience)) return undefined;
  const isDeadline =
    waiting.deadlineAt - estimate.serviceMs < waiting.arrivedAt + waiting.maxQueueMs;
  return isDeadline ? "deadline" : "queueFull";
}

/**
 * Refuses a request and says when to come back: after the queue's excess has drained, and each
 * refused one a start later than the one before. Told the same time they would all return at once
 * and be refused again; spaced by the rate of their class they find a slot each.
 */
export function refuse(
  queue: ClassQueue,
  waiting: Waiting,
  reason: Refusal["reason"],
  estimate: WaitEstimate,
  at: number,
): { readonly queue: ClassQueue; readonly effect: Refusal } {
  const excess = findExcess(waiting, estimate, at);
  const step = Number.isFinite(estimate.startEveryMs) ? estimate.startEveryMs : 0;
  const earliest = Math.max(queue.comeBackAt, at + excess) + step;
  const comeBackAt = Math.min(earliest, at + longestRetryMs);
  const retryAfterMs = Math.max(shortestRetryMs, Math.ceil(comeBackAt - at));
  return {
    queue: { ...queue, comeBackAt },
    effect: { type: "refuse", id: waiting.id, reason, retryAfterMs },
  };
}

/**
 * Estimates the wait of an arrival and tells whether it is too long, with a margin. Admitted up to
 * the limit itself, half of the last ones would be refused after having waited almost all of it.
 */
export function checkWait(admission: Admission, waiting: Waiting, at: number) {
  const estimate = measureWait(admission, waiting, at);
  const waitMs = findCarefulWait(estimate);
  const reason = findRefusal(admission, waiting, { ...estimate, waitMs }, at);
  return { estimate, reason };
}

function findExcess(waiting: Waiting, estimate: WaitEstimate, at: number): number {
  if (!Number.isFinite(estimate.waitMs)) return unknownRetryMs;
  const patience = Math.max(0, findPatience(waiting, estimate.serviceMs, at));
  return Math.max(0, findCarefulWait(estimate) - patience);
}

function findOutage(admission: Admission, waiting: Waiting): "noPrimary" | "overloaded" {
  const needsPrimary = waiting.candidates.every((name) => {
    const target = admission.targets[name];
    return target === undefined || target.role === "primary";
  });
  const hasSlots = waiting.candidates.some((name) => (admission.targets[name]?.slots ?? 0) > 0);
  return needsPrimary && !hasSlots ? "noPrimary" : "overloaded";
}
