import { succeed } from "../../model/index.js";
import { dropIdleLevels, getClass, isLevelClass } from "./classes.js";
import { listInServiceOrder } from "./objective.js";
import { computeOverlap } from "./order.js";
import { dropIdleTeams } from "./queue.js";
import { computeMaxWaitMs, findRefusalReason, refuse } from "./refusal.js";
import { removeWaiting, withClass } from "./state.js";
import { findFirstEntry, findLastEntry, listValues, removeEntry } from "./tree.js";
import type {
  Admission,
  AdmissionEffect,
  ClassName,
  Lane,
  TeamQueue,
  WaitingRequest,
} from "./types.js";
import { createWaitEstimator, type WaitEstimator, type WaitEstimate } from "./wait.js";

/**
 * A waiting request is refused only when its estimated wait exceeds its limit by a fifth. Waits are
 * estimates, and without the tolerance noise in the measured service times would refuse requests
 * that would have been served in time.
 */
const waitTolerance = 1.2;

/** A request whose estimated wait is too long, with the reason and the estimate. */
interface OverdueRequest {
  readonly waiting: WaitingRequest;
  readonly reason: NonNullable<ReturnType<typeof findRefusalReason>>;
  readonly estimate: WaitEstimate;
}

/**
 * Refuses waiting requests whose estimated wait has become too long since they arrived, because
 * more important requests came or a target slowed down or left. A request that is refused now can
 * be retried elsewhere; otherwise its caller would learn of it only at the deadline. Starts with the
 * least important class. Checks both ends of each lane, and every request of a level.
 */
export function refuseOverdueRequests(admission: Admission, at: number) {
  let state = admission;
  const effects: AdmissionEffect[] = [];
  for (const name of [...admission.order].reverse()) {
    const overdue = collectOverdue(state, name, at);
    for (const { waiting, reason, estimate } of overdue) {
      const without = removeWaiting(state, waiting);
      const refused = refuse(getClass(without, name), waiting, reason, estimate, at);
      state = withClass(without, name, refused.queue);
      effects.push(refused.effect);
    }
    state = withClass(state, name, dropIdleTeams(getClass(state, name)));
  }
  return succeed(dropIdleLevels(state, at), effects);
}

function collectOverdue(
  admission: Admission,
  name: ClassName,
  at: number,
): readonly OverdueRequest[] {
  const overdue: OverdueRequest[] = [];
  const estimators = new Map<string, WaitEstimator>();
  const findEstimator = (lane: Lane, first: WaitingRequest) => {
    const estimator = estimators.get(lane.key) ?? createWaitEstimator(admission, first, at);
    estimators.set(lane.key, estimator);
    return estimator;
  };
  for (const team of listValues(getClass(admission, name).teams)) {
    if (isLevelClass(name)) {
      if (!isWithinLimits(team, findEstimator, at))
        overdue.push(...collectOverdueInTeam(admission, team, findEstimator, at));
      continue;
    }
    for (const lane of listValues(team.lanes)) {
      const first = findFirstEntry(lane.queue)?.value;
      if (first === undefined) continue;
      overdue.push(...collectOverdueInLane(admission, lane, findEstimator(lane, first), at));
    }
  }
  return overdue;
}

/**
 * Whether the longest wait that a team's requests may have is within the limits of them all. Most teams are, and
 * need no estimate for each request.
 */
function isWithinLimits(
  team: TeamQueue,
  findEstimator: (lane: Lane, first: WaitingRequest) => WaitEstimator,
  at: number,
): boolean {
  for (const lane of listValues(team.lanes)) {
    const first = findFirstEntry(lane.queue)?.value;
    if (first === undefined) continue;
    const estimator = findEstimator(lane, first);
    const boundMs = estimator.boundLevelWaitMs(team.team, team.size);
    for (const waiting of listValues(lane.queue)) {
      const isWithin = computeMaxWaitMs(waiting, estimator.serviceMs, at) > boundMs;
      if (!isWithin) return false;
    }
  }
  return true;
}

/**
 * Checks each waiting request of a team in a level, in the order in which they are served. Limits and order
 * of arrival don't agree there, so that the ends of a lane say nothing of the requests between them. A
 * refused request frees its place for those behind it.
 */
function collectOverdueInTeam(
  admission: Admission,
  team: TeamQueue,
  findEstimator: (lane: Lane, first: WaitingRequest) => WaitEstimator,
  at: number,
): readonly OverdueRequest[] {
  const overdue: OverdueRequest[] = [];
  const findInTimeFrom = (lane: Lane) => {
    const first = findFirstEntry(lane.queue)?.value;
    return first === undefined ? "" : findEstimator(lane, first).inTimeFrom;
  };
  const kept = new LaneCounts();
  const lateWaiting = new LaneCounts();
  const entries = listInServiceOrder(team, findInTimeFrom);
  for (const { lane, inTime } of entries) if (!inTime) lateWaiting.add(lane);
  const keptLate = new LaneCounts();
  for (const { lane, waiting, inTime } of entries) {
    const ahead = {
      inTime: kept.countFor(lane),
      late: (inTime ? lateWaiting : keptLate).countFor(lane),
    };
    const endAt = waiting.objectiveAt ?? waiting.deadlineAt;
    const estimate = findEstimator(lane, waiting).estimateLevel(team.team, ahead, endAt);
    const found = checkOverdue(admission, waiting, estimate, at);
    if (found === undefined) (inTime ? kept : keptLate).add(lane);
    else overdue.push(found);
  }
  return overdue;
}

/** Counts requests by lane. */
class LaneCounts {
  private readonly counts = new Map<string, { readonly lane: Lane; count: number }>();

  add(lane: Lane): void {
    const known = this.counts.get(lane.key) ?? { lane, count: 0 };
    known.count += 1;
    this.counts.set(lane.key, known);
  }

  /** The number of requests, each weighted by the share of its candidates that the lane has too. */
  countFor({ key, candidates }: Lane): number {
    let count = 0;
    for (const { lane, count: own } of this.counts.values()) {
      count += lane.key === key ? own : own * computeOverlap(lane.candidates, candidates);
    }
    return count;
  }
}

function collectOverdueInLane(
  admission: Admission,
  lane: Lane,
  estimator: WaitEstimator,
  at: number,
): readonly OverdueRequest[] {
  const overdue: OverdueRequest[] = [];
  let queue = lane.queue;
  while (queue !== undefined) {
    const ends = [findFirstEntry(queue)?.value, findLastEntry(queue)?.value];
    const positions = [1, queue.size];
    const found = ends.flatMap((waiting, i) => {
      if (waiting === undefined) return [];
      return (
        checkOverdue(admission, waiting, estimator.estimate(waiting.team, positions[i] ?? 1), at) ??
        []
      );
    })[0];
    if (found === undefined) return overdue;
    overdue.push(found);
    queue = removeEntry(queue, found.waiting.seq);
  }
  return overdue;
}

function checkOverdue(
  admission: Admission,
  waiting: WaitingRequest,
  estimate: WaitEstimate,
  at: number,
): OverdueRequest | undefined {
  const reason = findRefusalReason(
    admission,
    waiting,
    { ...estimate, waitMs: estimate.waitMs / waitTolerance },
    at,
  );
  return reason === undefined ? undefined : { waiting, reason, estimate };
}
