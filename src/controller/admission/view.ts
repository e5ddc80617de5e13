import { priorities, type Priority } from "../../model/index.js";
import { countEntries, listValues } from "./tree.js";
import type { Admission } from "./types.js";

/** What metrics and the router read of a group's queue. */
export interface AdmissionSummary {
  readonly waiting: Readonly<Record<Priority, number>>;
  readonly running: number;
  /** Slots held by statements whose callers gave up. */
  readonly abandoned: number;
}

/** Counts what waits and runs. */
export function summariseAdmission(admission: Admission): AdmissionSummary {
  const sizes = priorities.map((p) => [p, admission.classes[p].size] as const);
  let abandoned = 0;
  for (const running of listValues(admission.running)) if (running.isAbandoned) abandoned += 1;
  return {
    waiting: Object.fromEntries(sizes) as Record<Priority, number>,
    running: countEntries(admission.running),
    abandoned,
  };
}

/** The free slots of a target, 0 when it is unknown. */
export function countFreeSlots(admission: Admission, target: string): number {
  const known = admission.targets[target];
  return known === undefined ? 0 : Math.max(0, known.slots - known.running);
}

/** The requests that only one target may serve, by id. */
export function listWaitingOnlyFor(admission: Admission, target: string): readonly string[] {
  return [...listValues(admission.waiting)]
    .filter(({ candidates }) => candidates.every((name) => name === target))
    .map(({ id }) => id);
}
