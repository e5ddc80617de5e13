import { priorities, succeed, type Priority } from "../../model/index.js";
import { dropIdleTeams } from "./queue.js";
import { findRefusalReason, refuse } from "./refusal.js";
import { removeWaiting, withClass } from "./state.js";
import { findFirstEntry, findLastEntry, listValues, removeEntry } from "./tree.js";
import type { Admission, AdmissionEffect, Lane, WaitingRequest } from "./types.js";
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
 * be retried elsewhere; otherwise its caller would learn of it only at the deadline. Checks both
 * ends of each lane, starting with the least important class.
 */
export function refuseOverdueRequests(admission: Admission, at: number) {
  let state = admission;
  const effects: AdmissionEffect[] = [];
  for (const priority of [...priorities].reverse()) {
    const overdue = collectOverdue(state, priority, at);
    for (const { waiting, reason, estimate } of overdue) {
      const without = removeWaiting(state, waiting);
      const refused = refuse(without.classes[priority], waiting, reason, estimate, at);
      state = withClass(without, priority, refused.queue);
      effects.push(refused.effect);
    }
    state = withClass(state, priority, dropIdleTeams(state.classes[priority]));
  }
  return succeed(state, effects);
}

function collectOverdue(
  admission: Admission,
  priority: Priority,
  at: number,
): readonly OverdueRequest[] {
  const overdue: OverdueRequest[] = [];
  const estimators = new Map<string, WaitEstimator>();
  for (const team of listValues(admission.classes[priority].teams)) {
    for (const lane of listValues(team.lanes)) {
      const first = findFirstEntry(lane.queue)?.value;
      if (first === undefined) continue;
      const estimator = estimators.get(lane.key) ?? createWaitEstimator(admission, first, at);
      estimators.set(lane.key, estimator);
      overdue.push(...collectOverdueInLane(admission, lane, estimator, at));
    }
  }
  return overdue;
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
