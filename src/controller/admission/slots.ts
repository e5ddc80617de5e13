import { priorities, type Priority } from "../../model/index.js";
import type { RunningRequest, TargetSlots } from "./types.js";

const serviceTimeWeight = 0.05;
/** The span over which the use of slots by each class is averaged. */
const usageTimeConstantMs = 1000;

const noUsage: Readonly<Record<Priority, number>> = {
  critical: 0,
  normal: 0,
  browsing: 0,
  trial: 0,
};

/** A target of which nothing is known yet. */
export function createTargetSlots(target: string, serviceMs: number, at: number): TargetSlots {
  return {
    target,
    role: "replica",
    slots: 0,
    slotsExpectedAt: undefined,
    running: 0,
    runningBackground: 0,
    serviceMs,
    usageMs: noUsage,
    usageAt: at,
  };
}

/** The slots that a kind of work may hold at once: background work leaves one of a primary's free. */
export function countUsableSlots(target: TargetSlots, isBackground: boolean): number {
  return isBackground && target.role === "primary" && target.slots >= 2
    ? target.slots - 1
    : target.slots;
}

/** Whether a target has a slot for any work. */
export function hasFreeSlot(target: TargetSlots): boolean {
  return target.running < target.slots;
}

/**
 * Whether a target has a slot for trial or browsing work. Were it in every slot of the primary, paying
 * writes would wait for the first of it to end; with one slot kept clear a write always has a slot that
 * only other important work can hold.
 */
export function canRunBackground(target: TargetSlots): boolean {
  return hasFreeSlot(target) && target.runningBackground < countUsableSlots(target, true);
}

/** A target with one more statement. */
export function takeSlot(target: TargetSlots, isBackground: boolean): TargetSlots {
  const runningBackground = target.runningBackground + (isBackground ? 1 : 0);
  return { ...target, running: target.running + 1, runningBackground };
}

/** A target after a statement has left its slot, with what its time there tells. */
export function releaseSlot(target: TargetSlots, running: RunningRequest, at: number): TargetSlots {
  const heldMs = Math.max(0, at - running.startedAt);
  const usageMs = decayUsage(target, at);
  return {
    ...target,
    running: target.running - 1,
    runningBackground: target.runningBackground - (running.isBackground ? 1 : 0),
    serviceMs: target.serviceMs + serviceTimeWeight * (heldMs - target.serviceMs),
    usageMs: { ...usageMs, [running.priority]: usageMs[running.priority] + heldMs },
    usageAt: at,
  };
}

/** The share of a target's slot time that classes more important than `priority` use, 0 to 1. */
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
