import { getClass } from "./classes.js";
import { countEntries, listValues } from "./tree.js";
import type { Admission, ByClass } from "./types.js";

/** The number of waiting and running requests of a group, for metrics and the router. */
export interface AdmissionSummary {
  readonly waiting: ByClass<number>;
  readonly running: number;
  /** Running requests whose callers gave up. */
  readonly abandoned: number;
}

/** Counts the waiting and running requests. */
export function summariseAdmission(admission: Admission): AdmissionSummary {
  const sizes = admission.order.map((name) => [name, getClass(admission, name).size] as const);
  let abandoned = 0;
  for (const running of listValues(admission.running)) if (running.isAbandoned) abandoned += 1;
  return {
    waiting: Object.fromEntries(sizes) as unknown as ByClass<number>,
    running: countEntries(admission.running),
    abandoned,
  };
}

/** The number of free slots of a target, 0 if it is unknown. */
export function countFreeSlots(admission: Admission, target: string): number {
  const known = admission.targets[target];
  return known === undefined ? 0 : Math.max(0, known.slots - known.running);
}

/** The ids of the waiting requests that have this target as their only candidate. */
export function listWaitingOnlyFor(admission: Admission, target: string): readonly string[] {
  return [...listValues(admission.waiting)]
    .filter(({ candidates }) => candidates.every((name) => name === target))
    .map(({ id }) => id);
}
