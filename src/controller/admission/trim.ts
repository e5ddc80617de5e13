import { priorities, succeed, type Priority } from "../../model/index.js";
import { dropIdleTeams } from "./queue.js";
import { findRefusal, refuse } from "./refusal.js";
import { dropWaiting, withClass } from "./state.js";
import { findFirstEntry, findLastEntry, listValues, removeEntry } from "./tree.js";
import type { Admission, AdmissionEffect, Lane, Waiting } from "./types.js";
import { measureLine, type Line, type WaitEstimate } from "./wait.js";

/**
 * Waits are estimates: one that has grown is acted upon when it is a fifth over the limit, so that
 * noise in the service times refuses nobody who would have been served in time.
 */
const slack = 1.2;

/** A request that would wait too long, with what says so. */
interface Late {
  readonly waiting: Waiting;
  readonly reason: NonNullable<ReturnType<typeof findRefusal>>;
  readonly estimate: WaitEstimate;
}

/**
 * Refuses those whose wait has grown too long since they came: more important requests arrived, a
 * target slowed down or left. Told now they can go elsewhere; held they would hear it at their
 * deadline. Looks at both ends of each lane, the least important class first.
 */
export function trimQueue(admission: Admission, at: number) {
  let state = admission;
  const effects: AdmissionEffect[] = [];
  for (const priority of [...priorities].reverse()) {
    const late = collectLate(state, priority, at);
    for (const { waiting, reason, estimate } of late) {
      const without = dropWaiting(state, waiting);
      const refused = refuse(without.classes[priority], waiting, reason, estimate, at);
      state = withClass(without, priority, refused.queue);
      effects.push(refused.effect);
    }
    state = withClass(state, priority, dropIdleTeams(state.classes[priority]));
  }
  return succeed(state, effects);
}

function collectLate(admission: Admission, priority: Priority, at: number): readonly Late[] {
  const late: Late[] = [];
  const lines = new Map<string, Line>();
  for (const team of listValues(admission.classes[priority].teams)) {
    for (const lane of listValues(team.lanes)) {
      const first = findFirstEntry(lane.queue)?.value;
      if (first === undefined) continue;
      const line = lines.get(lane.key) ?? measureLine(admission, first, at);
      lines.set(lane.key, line);
      late.push(...collectLateOf(admission, lane, line, at));
    }
  }
  return late;
}

function collectLateOf(admission: Admission, lane: Lane, line: Line, at: number): readonly Late[] {
  const late: Late[] = [];
  let queue = lane.queue;
  while (queue !== undefined) {
    const ends = [findFirstEntry(queue)?.value, findLastEntry(queue)?.value];
    const places = [1, queue.size];
    const found = ends.flatMap((waiting, i) => {
      if (waiting === undefined) return [];
      return findLate(admission, waiting, line.estimate(waiting.team, places[i] ?? 1), at) ?? [];
    })[0];
    if (found === undefined) return late;
    late.push(found);
    queue = removeEntry(queue, found.waiting.seq);
  }
  return late;
}

function findLate(
  admission: Admission,
  waiting: Waiting,
  estimate: WaitEstimate,
  at: number,
): Late | undefined {
  const reason = findRefusal(
    admission,
    waiting,
    { ...estimate, waitMs: estimate.waitMs / slack },
    at,
  );
  return reason === undefined ? undefined : { waiting, reason, estimate };
}
