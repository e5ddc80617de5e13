import { priorities, type Plan, type Priority } from "../../model/index.js";
import { estimateCapacity, type Capacity } from "./capacity.js";
import { isBackgroundWork } from "./queue.js";
import { canRunBackground, hasFreeSlot } from "./slots.js";
import { listValues } from "./tree.js";
import { computeOverlap, predictServiceOrder } from "./order.js";
import type { Admission } from "./types.js";

/** What decides how long a request would wait. */
export interface RequestProfile {
  readonly team: string;
  readonly plan: Plan;
  readonly priority: Priority;
  readonly candidates: readonly string[];
}

/** How long a request would wait, and how fast its class is served. */
export interface WaitEstimate {
  /** Infinity when none of its targets has slots and none is expected back. */
  readonly waitMs: number;
  /** The standard deviation of the wait. */
  readonly deviationMs: number;
  /** Milliseconds between two starts that its class gets on these targets. */
  readonly startIntervalMs: number;
  readonly serviceMs: number;
}

const pessimisticDeviations = 2;

/** Estimates the wait of a request that would arrive now. */
export function estimateWait(
  admission: Admission,
  request: RequestProfile,
  at: number,
): WaitEstimate {
  const isFree = request.candidates.some((name) => canStartOn(admission, request, name));
  if (isFree) {
    const { residualIntervalMs, serviceMs } = estimateCapacity(admission, request, at);
    return { waitMs: 0, deviationMs: 0, startIntervalMs: residualIntervalMs, serviceMs };
  }
  const estimator = createWaitEstimator(admission, request, at);
  return estimator.estimate(request.team, estimator.countWaiting(request.team) + 1);
}

/** The line before some targets for one class. */
export interface WaitEstimator {
  /** How many requests of a team stand in it. */
  readonly countWaiting: (team: string) => number;
  /** Estimates the wait of the `position`-th request of a team. */
  readonly estimate: (team: string, position: number) => WaitEstimate;
}

/** Measures the line that a request's class forms before its targets, for many questions. */
export function createWaitEstimator(
  admission: Admission,
  request: RequestProfile,
  at: number,
): WaitEstimator {
  const capacity = estimateCapacity(admission, request, at);
  const queue = admission.classes[request.priority];
  const order = predictServiceOrder(queue, request.candidates, capacity.serviceMs);
  const higherClassCount = countHigherClassRequests(admission, request);
  return {
    countWaiting: order.countWaiting,
    estimate: (team, position) => {
      const { slotsExpectedInMs, serviceMs } = capacity;
      if (slotsExpectedInMs !== undefined) {
        return {
          waitMs: slotsExpectedInMs,
          deviationMs: 0,
          startIntervalMs: capacity.residualIntervalMs,
          serviceMs,
        };
      }
      const ownClassCount = order.countServedUntil(team, position);
      return pickShorterWait(
        estimateResidualWait(capacity, higherClassCount + ownClassCount),
        estimateGuaranteedWait(capacity, ownClassCount),
      );
    },
  };
}

/** A wait by what more important classes leave. Their bursts make it vary the more they use. */
function estimateResidualWait(
  { residualIntervalMs, residualShare, serviceMs }: Capacity,
  countAhead: number,
): WaitEstimate {
  const burstiness = Math.sqrt((2 - residualShare) / residualShare);
  return {
    waitMs: countAhead * residualIntervalMs,
    deviationMs: Math.sqrt(countAhead) * residualIntervalMs * burstiness,
    startIntervalMs: residualIntervalMs,
    serviceMs,
  };
}

/**
 * A wait by the guaranteed share alone, whoever else waits. Each start of the class comes after many
 * of others, so that it varies little. Without it a class beside a flood of a more important one
 * would be refused for the wait behind that flood, and never use its share.
 */
function estimateGuaranteedWait(
  { guaranteedIntervalMs, guaranteedShare, serviceMs }: Capacity,
  countAhead: number,
): WaitEstimate {
  return {
    waitMs: countAhead * guaranteedIntervalMs,
    deviationMs: Math.sqrt(countAhead * guaranteedShare) * guaranteedIntervalMs,
    startIntervalMs: guaranteedIntervalMs,
    serviceMs,
  };
}

function pickShorterWait(a: WaitEstimate, b: WaitEstimate): WaitEstimate {
  return computePessimisticWaitMs(a) <= computePessimisticWaitMs(b) ? a : b;
}

/** The wait that one in some forty is longer than. */
export function computePessimisticWaitMs({ waitMs, deviationMs }: WaitEstimate): number {
  return waitMs === Infinity ? Infinity : waitMs + pessimisticDeviations * deviationMs;
}

/** Whether a target has a slot for a request, whoever else waits. */
export function canStartOn(
  admission: Admission,
  request: { readonly plan: Plan; readonly priority: Priority },
  name: string,
): boolean {
  const target = admission.targets[name];
  if (target === undefined) return false;
  return isBackgroundWork(request) ? canRunBackground(target) : hasFreeSlot(target);
}

/** Requests of more important classes that some targets serve first. */
function countHigherClassRequests(admission: Admission, request: RequestProfile): number {
  const higherClasses = priorities.slice(0, priorities.indexOf(request.priority));
  let count = 0;
  for (const priority of higherClasses) {
    for (const set of listValues(admission.classes[priority].candidateSets)) {
      count += set.count * computeOverlap(set.candidates, request.candidates);
    }
  }
  return count;
}
