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
  /** When slots come back, where there are none now. */
  readonly backInMs: number | undefined;
}

/** A statement that holds its slot this many times the usual time no longer counts as about to end. */
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
    const rate = Math.max(0, usable - (stalled.get(target.target) ?? 0)) / target.serviceMs;
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

function countStalled(admission: Admission, at: number): ReadonlyMap<string, number> {
  const stalled = new Map<string, number>();
  for (const running of listValues(admission.running)) {
    const serviceMs = admission.targets[running.target]?.serviceMs ?? 0;
    const longest = Math.max(stalledAfterMs, stalledFactor * serviceMs);
    if (at - running.startedAt <= longest) continue;
    stalled.set(running.target, 1 + (stalled.get(running.target) ?? 0));
  }
  return stalled;
}
