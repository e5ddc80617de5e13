import type { Admission, AdmissionEffect, ClassQueue, WaitingRequest } from "./types.js";
import { computePessimisticWaitMs, estimateWait, type WaitEstimate } from "./wait.js";

type Refusal = Extract<AdmissionEffect, { type: "refuse" }>;

const minRetryMs = 10;
const maxRetryMs = 10_000;
/** The retry delay when it is unknown when a target will take requests again. */
const unknownOutageRetryMs = 1000;

/**
 * The longest time that a request may still wait, so that it stays within its `maxQueueMs` and can
 * finish by its deadline. Negative once that is impossible.
 */
export function computeMaxWaitMs(waiting: WaitingRequest, serviceMs: number, at: number): number {
  const byRule = waiting.arrivedAt + waiting.maxQueueMs - at;
  return Math.min(byRule, waiting.deadlineAt - serviceMs - at);
}

/**
 * The reason to refuse a request with this estimated wait, or `undefined` when it may keep waiting.
 */
export function findRefusalReason(
  admission: Admission,
  waiting: WaitingRequest,
  estimate: WaitEstimate,
  at: number,
): Refusal["reason"] | undefined {
  if (estimate.waitMs === Infinity) return classifyOutage(admission, waiting);
  const maxWaitMs = computeMaxWaitMs(waiting, estimate.serviceMs, at);
  const isPastDeadline = waiting.deadlineAt <= at + estimate.serviceMs && estimate.waitMs > 0;
  if (waiting.deadlineAt <= at || isPastDeadline) return "deadline";
  if (estimate.waitMs <= Math.max(0, maxWaitMs)) return undefined;
  const isDeadlineFirst =
    waiting.deadlineAt - estimate.serviceMs < waiting.arrivedAt + waiting.maxQueueMs;
  return isDeadlineFirst ? "deadline" : "queueFull";
}

/**
 * Refuses a request with a retry time: after the part of the queue that exceeds its longest wait
 * has been served, and one start interval after the previous refused request of the class. With the
 * same retry time all refused requests would return together and be refused again; spaced at the
 * rate of their class each finds a slot.
 */
export function refuse(
  queue: ClassQueue,
  waiting: WaitingRequest,
  reason: Refusal["reason"],
  estimate: WaitEstimate,
  at: number,
): { readonly queue: ClassQueue; readonly effect: Refusal } {
  const excessMs = computeExcessMs(waiting, estimate, at);
  const spacingMs = Number.isFinite(estimate.startIntervalMs) ? estimate.startIntervalMs : 0;
  const earliest = Math.max(queue.lastRetryAt, at + excessMs) + spacingMs;
  const retryAt = Math.min(earliest, at + maxRetryMs);
  const retryAfterMs = Math.max(minRetryMs, Math.ceil(retryAt - at));
  return {
    queue: { ...queue, lastRetryAt: retryAt },
    effect: { type: "refuse", id: waiting.id, reason, retryAfterMs },
  };
}

/**
 * Estimates the wait of an arrival and checks a pessimistic bound of it against the limits. If the
 * mean itself were checked, half of the requests admitted just below the limit would be refused
 * later, after waiting for almost all of the allowed time.
 */
export function checkWait(admission: Admission, waiting: WaitingRequest, at: number) {
  const estimate = estimateWait(admission, waiting, at);
  const waitMs = computePessimisticWaitMs(estimate);
  const reason = findRefusalReason(admission, waiting, { ...estimate, waitMs }, at);
  return { estimate, reason };
}

function computeExcessMs(waiting: WaitingRequest, estimate: WaitEstimate, at: number): number {
  if (!Number.isFinite(estimate.waitMs)) return unknownOutageRetryMs;
  if (estimate.inTimeAfterMs !== undefined) return Math.max(0, estimate.inTimeAfterMs);
  const maxWaitMs = Math.max(0, computeMaxWaitMs(waiting, estimate.serviceMs, at));
  return Math.max(0, computePessimisticWaitMs(estimate) - maxWaitMs);
}

function classifyOutage(admission: Admission, waiting: WaitingRequest): "noPrimary" | "overloaded" {
  const needsPrimary = waiting.candidates.every((name) => {
    const target = admission.targets[name];
    return target === undefined || target.role === "primary";
  });
  const hasSlots = waiting.candidates.some((name) => (admission.targets[name]?.slots ?? 0) > 0);
  return needsPrimary && !hasSlots ? "noPrimary" : "overloaded";
}
