import { priorities, type Priority } from "../../model/index.js";
import type { RunningRequest, TargetSlots } from "./types.js";

/** The weight of the newest sample in the moving average of service times. */
const serviceTimeWeight = 0.05;
/** The time constant of the exponential decay of the slot time used by each class. */
const usageTimeConstantMs = 1000;

const noUsage: Readonly<Record<Priority, number>> = {
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
    usageMs: { ...usageMs, [running.priority]: usageMs[running.priority] + heldMs },
    usageAt: at,
  };
}

/**
 * The share of a target's slot time used by classes that are more important than `priority`, 0 to
 * 1.
 */
export function computeHigherClassShare(
  target: TargetSlots,
  priority: Priority,
  at: number,
): number {
  const above = priorities.slice(0, priorities.indexOf(priority));
  const usedMs =
    above.reduce((sum, p) => sum + target.usageMs[p], 0) * computeDecayFactor(target, at);
  return Math.min(1, usedMs / (usageTimeConstantMs * Math.max(1, target.slots)));
}

function decayUsage(target: TargetSlots, at: number): Readonly<Record<Priority, number>> {
  const factor = computeDecayFactor(target, at);
  const { critical, normal, browsing, trial } = target.usageMs;
  return {
    critical: critical * factor,
    normal: normal * factor,
    browsing: browsing * factor,
    trial: trial * factor,
  };
}

function computeDecayFactor(target: TargetSlots, at: number): number {
  return Math.exp(-Math.max(0, at - target.usageAt) / usageTimeConstantMs);
}
