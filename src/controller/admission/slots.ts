import { compareClasses, isLevelClass } from "./classes.js";
import type { ByClass, ClassName, RunningRequest, TargetSlots } from "./types.js";

/** The weight of the newest sample in the moving average of service times. */
const serviceTimeWeight = 0.05;
/** The time constant of the exponential decay of the slot time used by each class. */
const usageTimeConstantMs = 1000;

/** A level's decayed slot time counts as 0 below this, so that levels no longer in use take no memory. */
const negligibleUsageMs = 0.01;

const noUsage: ByClass<number> = {
  critical: 0,
  normal: 0,
  browsing: 0,
  trial: 0,
};

/** A target without slots, whose service time has not been measured yet. */
export function createTargetSlots(target: string, serviceMs: number, at: number): TargetSlots {
  return {
    target,
    role: "replica",
    slots: 0,
    slotsExpectedAt: undefined,
    running: 0,
    runningBackground: 0,
    runningResumed: 0,
    isResumedLast: false,
    lackingLast: [],
    held: 0,
    connections: Infinity,
    serviceMs,
    usageMs: noUsage,
    usageAt: at,
  };
}

/**
 * The number of slots that a kind of work may hold at the same time. Background work leaves one
 * slot free on a primary that has two or more.
 */
export function countUsableSlots(target: TargetSlots, isBackground: boolean): number {
  return isBackground && target.role === "primary" && target.slots >= 2
    ? target.slots - 1
    : target.slots;
}

/** Whether a target has a slot that new work of any kind may take, and a connection for it. */
export function hasFreeSlot(target: TargetSlots): boolean {
  return target.running < target.slots && hasFreeConnection(target);
}

/** Whether requests that run or hold a connection leave one for new work. */
export function hasFreeConnection(target: TargetSlots): boolean {
  return target.running + target.held < target.connections;
}

/**
 * Whether a target has a slot for background work. If background work could hold every slot of a
 * primary, the writes of paying teams would wait until one of its statements ends. One reserved
 * slot suffices, because only more important work can hold it.
 */
export function canRunBackground(target: TargetSlots): boolean {
  return hasFreeSlot(target) && target.runningBackground < countUsableSlots(target, true);
}

/** Counts one more running statement on a target. */
export function takeSlot(target: TargetSlots, isBackground: boolean): TargetSlots {
  const runningBackground = target.runningBackground + (isBackground ? 1 : 0);
  return { ...target, running: target.running + 1, runningBackground, isResumedLast: false };
}

/**
 * Counts one running statement less, and updates the mean service time and the slot time used by
 * its class.
 */
export function releaseSlot(target: TargetSlots, running: RunningRequest, at: number): TargetSlots {
  const heldMs = Math.max(0, at - running.startedAt);
  const usageMs = decayUsage(target, at);
  return {
    ...target,
    running: target.running - 1,
    runningBackground: target.runningBackground - (running.isBackground ? 1 : 0),
    runningResumed: target.runningResumed - (running.isResumed === true ? 1 : 0),
    serviceMs: target.serviceMs + serviceTimeWeight * (heldMs - target.serviceMs),
    usageMs: { ...usageMs, [running.className]: (usageMs[running.className] ?? 0) + heldMs },
    usageAt: at,
  };
}

/** The share of a target's slot time used by classes that are more important than the given one, 0 to 1. */
export function computeHigherClassShare(target: TargetSlots, name: ClassName, at: number): number {
  let sum = 0;
  for (const [other, ms] of listUsage(target)) if (compareClasses(other, name) < 0) sum += ms;
  const usedMs = sum * computeDecayFactor(target, at);
  return Math.min(1, usedMs / (usageTimeConstantMs * Math.max(1, target.slots)));
}

function decayUsage(target: TargetSlots, at: number): ByClass<number> {
  const factor = computeDecayFactor(target, at);
  const { critical, normal, browsing, trial } = target.usageMs;
  const fixed = {
    critical: critical * factor,
    normal: normal * factor,
    browsing: browsing * factor,
    trial: trial * factor,
  };
  const levels = listUsage(target)
    .map(([name, ms]) => [name, ms * factor] as const)
    .filter(([name, ms]) => isLevelClass(name) && ms >= negligibleUsageMs);
  return levels.length === 0 ? fixed : { ...fixed, ...Object.fromEntries(levels) };
}

/** The slot time used by each class; the fixed classes come first. */
function listUsage(target: TargetSlots): readonly (readonly [ClassName, number])[] {
  return Object.entries(target.usageMs) as [ClassName, number][];
}

function computeDecayFactor(target: TargetSlots, at: number): number {
  return Math.exp(-Math.max(0, at - target.usageAt) / usageTimeConstantMs);
}
