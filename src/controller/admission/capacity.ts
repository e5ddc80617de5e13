import { isBackgroundWork } from "./queue.js";
import { countUsableSlots, measureUseAbove } from "./slots.js";
import { listValues } from "./tree.js";
import type { Admission, AdmissionRequest, TargetSlots } from "./types.js";

/** What some targets have for one class. Infinity stands for never. */
export interface Capacity {
  /** Milliseconds between two starts by what more important classes leave. */
  readonly leftEveryMs: number;
  /** The share of the slots that they leave. */
  readonly leftShare: number;
  /** Milliseconds between two starts by the guaranteed share alone. */
  readonly owedEveryMs: number;
  readonly owedShare: number;
  readonly serviceMs: number;
  /** When slots come back, where there are none now or stalled statements hold all of them. */
  readonly backInMs: number | undefined;
}

/**
 * A statement that holds its slot this many times the usual time no longer counts as about to end; it
 * is expected to last as long again.
 */
const stalledFactor = 20;
const stalledAfterMs = 1000;
const smallestShare = 1e-6;

/** Measures what the targets of a request have for its class. */
export function measureCapacity(
  admission: Admission,
  question: Pick<AdmissionRequest, "plan" | "priority" | "candidates">,
  at: number,
): Capacity {
  const { priority, candidates } = question;
  const stalled = countStalled(admission, at);
  let all = 0;
  let left = 0;
  let serviceMs = 0;
  let backAt = Infinity;
  for (const target of listTargets(admission, candidates)) {
    serviceMs = Math.max(serviceMs, target.serviceMs);
    if (target.slots === 0) backAt = Math.min(backAt, target.backAt ?? Infinity);
    const usable = countUsableSlots(target, isBackgroundWork(question));
    const held = stalled.get(target.target);
    const rate = Math.max(0, usable - (held?.count ?? 0)) / target.serviceMs;
    if (rate === 0 && held !== undefined) backAt = Math.min(backAt, at + held.shortestMs);
    all += rate;
    left += rate * (1 - measureUseAbove(target, priority, at));
  }
  const owedShare = admission.settings.guaranteedShare[priority];
  return {
    leftEveryMs: 1 / left,
    leftShare: Math.max(smallestShare, left / all || 0),
    owedEveryMs: 1 / (all * owedShare),
    owedShare,
    serviceMs,
    backInMs: all === 0 && backAt < Infinity ? Math.max(0, backAt - at) : undefined,
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
    if (heldMs <= Math.max(stalledAfterMs, stalledFactor * serviceMs)) continue;
    const { count, shortestMs } = stalled.get(target) ?? { count: 0, shortestMs: Infinity };
    stalled.set(target, { count: count + 1, shortestMs: Math.min(shortestMs, heldMs) });
  }
  return stalled;
}
