import type { Plan, Priority } from "../../model/index.js";
import { estimateCapacity, type Capacity } from "./capacity.js";
import { findClassName, getClass, listClassesAbove } from "./classes.js";
import { countAheadInTeam, makeTimeKey, type CountAhead } from "./objective.js";
import { isBackgroundWork } from "./queue.js";
import { canRunBackground, hasFreeSlot } from "./slots.js";
import { getEntry, listValues } from "./tree.js";
import { computeOverlap, predictServiceOrder } from "./order.js";
import type { Admission, ClassQueue } from "./types.js";

/** The attributes of a request that determine how long it would wait. */
export interface RequestProfile {
  readonly team: string;
  readonly plan: Plan;
  readonly priority: Priority;
  readonly level?: number;
  readonly objectiveAt?: number;
  readonly deadlineAt?: number;
  readonly lacksReplica?: boolean;
  readonly candidates: readonly string[];
}

/** The estimated wait of a request, and the rate at which its class is served. */
export interface WaitEstimate {
  /** The mean wait. Infinity when none of the candidates has slots and none is expected to. */
  readonly waitMs: number;
  /** The standard deviation of the wait. */
  readonly deviationMs: number;
  /** Mean time between two starts of its class on the candidates. */
  readonly startIntervalMs: number;
  readonly serviceMs: number;
  /**
   * After this time a new statement like it would be served within its objective; the time to return for a
   * refused statement. Set only for a statement of a level that is expected to be late.
   */
  readonly inTimeAfterMs?: number;
}

/** Standard deviations that a pessimistic wait adds to the mean. */
const pessimisticDeviations = 2;

/** Estimates the wait of a request that arrives now. */
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
  const { team, level, deadlineAt = Infinity, objectiveAt = deadlineAt } = request;
  if (level === undefined) return estimator.estimate(team, estimator.countWaiting(team) + 1);
  const queued = getEntry(getClass(admission, findClassName(request)).teams, team);
  const ahead = countAheadInTeam(queued, objectiveAt, estimator.inTimeFrom, request.candidates);
  return estimator.estimateLevel(team, ahead, objectiveAt);
}

/** Estimates waits in one priority class for one set of candidates. */
export interface WaitEstimator {
  /**
   * The number of a team's waiting requests, each weighted by the share of its candidates in the
   * set.
   */
  readonly countWaiting: (team: string) => number;
  /** The key of the time at which a statement that starts now is expected to end. */
  readonly inTimeFrom: string;
  /** Estimates the wait of the `position`-th request of a team. */
  readonly estimate: (team: string, position: number) => WaitEstimate;
  /** Estimates the wait of a team's request with an objective, by the requests that are served before it. */
  readonly estimateLevel: (team: string, ahead: CountAhead, objectiveAt: number) => WaitEstimate;
  /** A time that no wait of a team's requests with objectives exceeds, of which there are `count`. */
  readonly boundLevelWaitMs: (team: string, count: number) => number;
  /** The longest mean service time among the candidates. */
  readonly serviceMs: number;
}

/**
 * Creates an estimator for the class and candidates of a request. Its fixed cost is shared by all
 * estimates that it makes.
 */
export function createWaitEstimator(
  admission: Admission,
  request: RequestProfile,
  at: number,
): WaitEstimator {
  const capacity = estimateCapacity(admission, request, at);
  const queue = getClass(admission, findClassName(request));
  const inTimeFrom = makeTimeKey(at + capacity.serviceMs);
  const order = predictServiceOrder(queue, request.candidates, capacity.serviceMs);
  const maxOwnClassCount = limitOwnClassCount(queue, request);
  const higherClassCount = countHigherClassRequests(admission, request);
  const estimate = (team: string, position: number): WaitEstimate => {
    const { slotsExpectedInMs, serviceMs } = capacity;
    if (slotsExpectedInMs !== undefined) {
      return {
        waitMs: slotsExpectedInMs,
        deviationMs: 0,
        startIntervalMs: capacity.residualIntervalMs,
        serviceMs,
      };
    }
    const ownClassCount = Math.min(order.countServedUntil(team, position), maxOwnClassCount);
    return pickShorterWait(
      estimateResidualWait(capacity, higherClassCount + ownClassCount),
      estimateGuaranteedWait(capacity, ownClassCount),
    );
  };
  const getLateShare = (team: string) =>
    Math.max(minLateShare, getEntry(queue.teams, team)?.lateShare ?? 1);
  return {
    countWaiting: order.countWaiting,
    inTimeFrom,
    estimate,
    serviceMs: capacity.serviceMs,
    // The pessimistic wait never falls with the position, and no mean exceeds it.
    boundLevelWaitMs: (team, count) =>
      computePessimisticWaitMs(estimate(team, count + 1)) / getLateShare(team),
    estimateLevel: (team, ahead, objectiveAt) => {
      const latestStartMs = objectiveAt - capacity.serviceMs - at;
      return estimateLevelWait(
        (position) => estimate(team, position),
        ahead,
        latestStartMs,
        getLateShare(team),
      );
    },
  };
}

/**
 * The most requests of its class that are served up to and including a request, while reads that lack a replica wait:
 * other work gets every second start. Without this a write behind many such reads would be refused for a long wait.
 */
function limitOwnClassCount(queue: ClassQueue, request: RequestProfile): number {
  const sets = [...listValues(queue.candidateSets)];
  if (request.lacksReplica === true || !sets.some((set) => set.lacksReplica)) return Infinity;
  const others = sets
    .filter((set) => !set.lacksReplica)
    .reduce((sum, set) => sum + set.count * computeOverlap(set.candidates, request.candidates), 0);
  return 2 * (others + 1);
}

/** The least assumed share, so that a wait stays finite. */
const minLateShare = 0.001;

/**
 * The wait of a request with an objective. While it is served in time only the requests before it count.
 * Once it is late, requests that arrive later overtake it as well, so that the queue alone says too little:
 * its part of the wait is stretched by the share of the starts that late requests get. Without this, an
 * overload would hold late requests until their deadlines and refuse them only then.
 */
function estimateLevelWait(
  estimate: (position: number) => WaitEstimate,
  { inTime, late }: CountAhead,
  latestStartMs: number,
  lateShare: number,
): WaitEstimate {
  const ifInTime = estimate(inTime + 1);
  const inTimeMs = computePessimisticWaitMs(ifInTime);
  if (inTimeMs <= latestStartMs) return ifInTime;
  const ifLate = estimate(inTime + late + 1);
  if (!Number.isFinite(ifLate.waitMs)) return ifLate;
  const lateMs = estimate(inTime + late + 2).waitMs - ifInTime.waitMs;
  const stretchedMs = lateMs * (1 / lateShare - 1);
  return {
    ...ifLate,
    waitMs: ifLate.waitMs + stretchedMs,
    inTimeAfterMs: inTimeMs - Math.max(0, latestStartMs),
  };
}

/**
 * The wait for capacity that more important classes leave unused. It varies the more, the more they
 * use, because their requests come in bursts.
 */
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
 * The wait for the guaranteed share of the class alone, whatever the load of the other classes. It
 * varies little, since each start of the class follows many starts of others. Without this estimate
 * a class would be refused for the long wait behind a flood of more important requests, and would
 * never use its guaranteed share.
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

/** A wait that about one request in forty exceeds: the mean plus two standard deviations. */
export function computePessimisticWaitMs({ waitMs, deviationMs }: WaitEstimate): number {
  return waitMs === Infinity ? Infinity : waitMs + pessimisticDeviations * deviationMs;
}

/**
 * Whether a target has a free slot that a request may take, regardless of other waiting requests.
 */
export function canStartOn(
  admission: Admission,
  request: { readonly plan: Plan; readonly priority: Priority },
  name: string,
): boolean {
  const target = admission.targets[name];
  if (target === undefined) return false;
  return isBackgroundWork(request) ? canRunBackground(target) : hasFreeSlot(target);
}

/**
 * Counts the waiting requests of more important classes, each weighted by the share of its
 * candidates that the request has too.
 */
function countHigherClassRequests(admission: Admission, request: RequestProfile): number {
  let count = 0;
  for (const name of listClassesAbove(admission, findClassName(request))) {
    for (const set of listValues(getClass(admission, name).candidateSets)) {
      count += set.count * computeOverlap(set.candidates, request.candidates);
    }
  }
  return count;
}
