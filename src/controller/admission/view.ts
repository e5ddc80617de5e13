import { getClass } from "./classes.js";
import { isBackgroundWork } from "./queue.js";
import { countUsableSlots, hasFreeConnection } from "./slots.js";
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
  if (known === undefined) return 0;
  const { slots, connections, running, held } = known;
  return Math.max(0, Math.min(slots - running, connections - running - held));
}

/** The use of one target's slots, and its connections that are held without a slot. */
export interface SlotUse {
  readonly target: string;
  readonly running: number;
  readonly free: number;
  readonly held: number;
}

/** The use of the slots of all targets, for metrics. */
export function listSlotUse(admission: Admission): readonly SlotUse[] {
  return Object.values(admission.targets).flatMap((known) =>
    known === undefined
      ? []
      : [
          {
            target: known.target,
            running: known.running,
            free: Math.max(0, known.slots - known.running),
            held: known.held,
          },
        ],
  );
}

/**
 * The number of waiting requests that a free slot of the target could run if held connections were given back;
 * 0 while a connection is left. Background work counts only up to the slots that it may use.
 */
export function countWaitingForConnection(admission: Admission, target: string): number {
  const known = admission.targets[target];
  if (known === undefined || known.held === 0 || hasFreeConnection(known)) return 0;
  const free = Math.max(0, known.slots - known.running);
  if (free === 0) return 0;
  const usable = Math.max(0, countUsableSlots(known, true) - known.runningBackground);
  let count = 0;
  let backgroundCount = 0;
  for (const waiting of listValues(admission.waiting)) {
    if (!waiting.candidates.includes(target)) continue;
    if (isBackgroundWork(waiting)) backgroundCount += 1;
    else count += 1;
  }
  return Math.min(free, count + Math.min(usable, backgroundCount));
}

/** The ids of the waiting requests that have this target as their only candidate. */
export function listWaitingOnlyFor(admission: Admission, target: string): readonly string[] {
  return [...listValues(admission.waiting)]
    .filter(({ candidates }) => candidates.every((name) => name === target))
    .map(({ id }) => id);
}

/** What the wait for some targets' slots was estimated from, for the log. Times are in milliseconds. */
export interface QueueSummary {
  /** The requests that wait for any of the targets. */
  readonly waiting: number;
  /** The slots in use at the targets. */
  readonly running: number;
  /** The longest mean service time among the targets. */
  readonly serviceMs: number;
  /** How long the oldest of the running requests has held its slot; 0 if none runs. */
  readonly heldMs: number;
}

/** Summarises the queue before some targets. */
export function summariseQueue(
  admission: Admission,
  candidates: readonly string[],
  at: number,
): QueueSummary {
  const isAmong = (name: string) => candidates.includes(name);
  const waiting = [...listValues(admission.waiting)].filter((w) => w.candidates.some(isAmong));
  const running = [...listValues(admission.running)].filter(({ target }) => isAmong(target));
  const serviceTimes = candidates.map((name) => admission.targets[name]?.serviceMs ?? 0);
  return {
    waiting: waiting.length,
    running: running.length,
    serviceMs: Math.round(Math.max(0, ...serviceTimes)),
    heldMs: Math.round(Math.max(0, ...running.map(({ startedAt }) => at - startedAt))),
  };
}
