import { findClassName, findGuaranteedShare } from "./classes.js";
import { isBackgroundWork } from "./queue.js";
import { countUsableSlots, computeHigherClassShare } from "./slots.js";
import { listValues } from "./tree.js";
import type { Admission, AdmissionRequest, TargetSlots } from "./types.js";

/**
 * The rate at which a set of targets can start requests of one priority class. An interval of
 * Infinity means that nothing is ever started.
 */
export interface Capacity {
  /** Mean time between two starts out of the capacity that more important classes leave unused. */
  readonly residualIntervalMs: number;
  /** The share of the slots that more important classes leave unused, 0 to 1. */
  readonly residualShare: number;
  /** Mean time between two starts out of the class's guaranteed share alone. */
  readonly guaranteedIntervalMs: number;
  readonly guaranteedShare: number;
  /** The longest mean service time among the targets. */
  readonly serviceMs: number;
  /**
   * The time until slots are expected. Set only while no slot is usable, because there are none or
   * stalled statements hold all of them, and a time is known.
   */
  readonly slotsExpectedInMs: number | undefined;
}

/**
 * A statement that has held its slot for this many mean service times is no longer expected to end
 * soon, but to hold the slot for as long again.
 */
const stalledServiceTimes = 20;
const minStalledMs = 1000;
const minResidualShare = 1e-6;

/** Estimates the capacity that a request's candidate targets have for its priority class. */
export function estimateCapacity(
  admission: Admission,
  request: Pick<AdmissionRequest, "plan" | "priority" | "level" | "candidates">,
  at: number,
): Capacity {
  const { candidates } = request;
  const name = findClassName(request);
  const stalled = countStalled(admission, at);
  let totalRate = 0;
  let residualRate = 0;
  let serviceMs = 0;
  let slotsExpectedAt = Infinity;
  for (const target of listTargets(admission, candidates)) {
    serviceMs = Math.max(serviceMs, target.serviceMs);
    if (target.slots === 0)
      slotsExpectedAt = Math.min(slotsExpectedAt, target.slotsExpectedAt ?? Infinity);
    const usable = countUsableSlots(target, isBackgroundWork(request));
    const stalledHere = stalled.get(target.target);
    const rate = Math.max(0, usable - (stalledHere?.count ?? 0)) / target.serviceMs;
    if (rate === 0 && stalledHere !== undefined)
      slotsExpectedAt = Math.min(slotsExpectedAt, at + stalledHere.shortestMs);
    totalRate += rate;
    residualRate += rate * (1 - computeHigherClassShare(target, name, at));
  }
  const guaranteedShare = findGuaranteedShare(admission, name);
  return {
    residualIntervalMs: 1 / residualRate,
    residualShare: Math.max(minResidualShare, residualRate / totalRate || 0),
    guaranteedIntervalMs: 1 / (totalRate * guaranteedShare),
    guaranteedShare,
    serviceMs,
    slotsExpectedInMs:
      totalRate === 0 && slotsExpectedAt < Infinity ? Math.max(0, slotsExpectedAt - at) : undefined,
  };
}

/** Looks up targets by name and skips the unknown ones. */
export function listTargets(
  admission: Admission,
  names: readonly string[],
): readonly TargetSlots[] {
  return names.flatMap((name) => admission.targets[name] ?? []);
}

/**
 * The slots of one target that are held by stalled statements, which exceed the usual time by far.
 */
interface Stalled {
  readonly count: number;
  /** How long the most recently started of them has held its slot. */
  readonly shortestMs: number;
}

function countStalled(admission: Admission, at: number): ReadonlyMap<string, Stalled> {
  const stalled = new Map<string, Stalled>();
  for (const { target, startedAt } of listValues(admission.running)) {
    const serviceMs = admission.targets[target]?.serviceMs ?? 0;
    const heldMs = at - startedAt;
    if (heldMs <= Math.max(minStalledMs, stalledServiceTimes * serviceMs)) continue;
    const { count, shortestMs } = stalled.get(target) ?? { count: 0, shortestMs: Infinity };
    stalled.set(target, { count: count + 1, shortestMs: Math.min(shortestMs, heldMs) });
  }
  return stalled;
}
