import { isBackgroundWork } from "./queue.js";
import { countUsableSlots, computeHigherClassShare } from "./slots.js";
import { listValues } from "./tree.js";
import type { Admission, AdmissionRequest, TargetSlots } from "./types.js";

/** What some targets have for one class. Infinity stands for never. */
export interface Capacity {
  /** Milliseconds between two starts by what more important classes leave. */
  readonly residualIntervalMs: number;
  /** The share of the slots that they leave. */
  readonly residualShare: number;
  /** Milliseconds between two starts by the guaranteed share alone. */
  readonly guaranteedIntervalMs: number;
  readonly guaranteedShare: number;
  readonly serviceMs: number;
  /** When slots come back, where there are none now or stalled statements hold all of them. */
  readonly slotsExpectedInMs: number | undefined;
}

/**
 * A statement that holds its slot this many times the usual time no longer counts as about to end; it
 * is expected to last as long again.
 */
const stalledServiceTimes = 20;
const minStalledMs = 1000;
const minResidualShare = 1e-6;

/** Measures what the targets of a request have for its class. */
export function estimateCapacity(
  admission: Admission,
  request: Pick<AdmissionRequest, "plan" | "priority" | "candidates">,
  at: number,
): Capacity {
  const { priority, candidates } = request;
  const stalled = countStalled(admission, at);
  let all = 0;
  let left = 0;
  let serviceMs = 0;
  let slotsExpectedAt = Infinity;
  for (const target of listTargets(admission, candidates)) {
    serviceMs = Math.max(serviceMs, target.serviceMs);
    if (target.slots === 0)
      slotsExpectedAt = Math.min(slotsExpectedAt, target.slotsExpectedAt ?? Infinity);
    const usable = countUsableSlots(target, isBackgroundWork(request));
    const held = stalled.get(target.target);
    const rate = Math.max(0, usable - (held?.count ?? 0)) / target.serviceMs;
    if (rate === 0 && held !== undefined)
      slotsExpectedAt = Math.min(slotsExpectedAt, at + held.shortestMs);
    all += rate;
    left += rate * (1 - computeHigherClassShare(target, priority, at));
  }
  const guaranteedShare = admission.settings.guaranteedShare[priority];
  return {
    residualIntervalMs: 1 / left,
    residualShare: Math.max(minResidualShare, left / all || 0),
    guaranteedIntervalMs: 1 / (all * guaranteedShare),
    guaranteedShare,
    serviceMs,
    slotsExpectedInMs:
      all === 0 && slotsExpectedAt < Infinity ? Math.max(0, slotsExpectedAt - at) : undefined,
  };
}

/** The known ones of some targets. */
export function listTargets(
  admission: Admission,
  names: readonly string[],
): readonly TargetSlots[] {
  return names.flatMap((name) => admission.targets[name] ?? []);
}

/** The slots of a target that statements hold for unusually long. */
interface Stalled {
  readonly count: number;
  /** How long the newest of them has held its slot. */
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
