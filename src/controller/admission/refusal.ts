import type { Admission, AdmissionEffect, ClassQueue, WaitingRequest } from "./types.js";
import { computePessimisticWaitMs, estimateWait, type WaitEstimate } from "./wait.js";

type Refusal = Extract<AdmissionEffect, { type: "refuse" }>;

const minRetryMs = 10;
const maxRetryMs = 10_000;
/** Told where nothing is known of when a target will serve again. */
const unknownOutageRetryMs = 1000;

/** The longest that a request may still wait: by its rule, and so that it ends before its deadline. */
export function computeMaxWaitMs(waiting: WaitingRequest, serviceMs: number, at: number): number {
  const byRule = waiting.arrivedAt + waiting.maxQueueMs - at;
  return Math.min(byRule, waiting.deadlineAt - serviceMs - at);
}

/** Why a request that would wait this long must go, or `undefined` when it may stay. */
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
 * Refuses a request and says when to come back: after the queue's excess has drained, and each
 * refused one a start later than the one before. Told the same time they would all return at once
 * and be refused again; spaced by the rate of their class they find a slot each.
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
 * Estimates the wait of an arrival and tells whether it is too long, with a margin. Admitted up to
 * the limit itself, half of the last ones would be refused after having waited almost all of it.
 */
export function checkWait(admission: Admission, waiting: WaitingRequest, at: number) {
  const estimate = estimateWait(admission, waiting, at);
  const waitMs = computePessimisticWaitMs(estimate);
  const reason = findRefusalReason(admission, waiting, { ...estimate, waitMs }, at);
  return { estimate, reason };
}

function computeExcessMs(waiting: WaitingRequest, estimate: WaitEstimate, at: number): number {
  if (!Number.isFinite(estimate.waitMs)) return unknownOutageRetryMs;
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
