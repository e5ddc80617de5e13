import { priorities, type Priority } from "../../model/index.js";
import type { Running, TargetSlots } from "./types.js";

const serviceWeight = 0.05;
/** The span over which the use of slots by each class is averaged. */
const usedSpanMs = 1000;

const nothingUsed: Readonly<Record<Priority, number>> = {
  critical: 0,
  normal: 0,
  browsing: 0,
  trial: 0,
};

/** A target of which nothing is known yet. */
export function makeTarget(target: string, serviceMs: number, at: number): TargetSlots {
  return {
    target,
    role: "replica",
    slots: 0,
    backAt: undefined,
    running: 0,
    runningTrial: 0,
    serviceMs,
    used: nothingUsed,
    usedAt: at,
  };
}

/** The slots that a kind of work may hold at once: trial work leaves one of a primary's free. */
export function countUsableSlots(target: TargetSlots, isTrial: boolean): number {
  return isTrial && target.role === "primary" && target.slots >= 2
    ? target.slots - 1
    : target.slots;
}

/** Whether a target has a slot for any work. */
export function hasFreeSlot(target: TargetSlots): boolean {
  return target.running < target.slots;
}

/**
 * Whether a target has a slot for trial work. Trial statements in every slot of the primary would
 * make paying writes wait for the longest of them; with one slot kept clear a write always has a
 * slot that only paying work can hold.
 */
export function canRunTrial(target: TargetSlots): boolean {
  return hasFreeSlot(target) && target.runningTrial < countUsableSlots(target, true);
}

/** A target with one more statement. */
export function takeSlot(target: TargetSlots, isTrial: boolean): TargetSlots {
  const runningTrial = target.runningTrial + (isTrial ? 1 : 0);
  return { ...target, running: target.running + 1, runningTrial };
}

/** A target after a statement has left its slot, with what its time there tells. */
export function releaseSlot(target: TargetSlots, running: Running, at: number): TargetSlots {
  const heldMs = Math.max(0, at - running.startedAt);
  const used = decayUse(target, at);
  return {
    ...target,
    running: target.running - 1,
    runningTrial: target.runningTrial - (running.isTrial ? 1 : 0),
    serviceMs: target.serviceMs + serviceWeight * (heldMs - target.serviceMs),
    used: { ...used, [running.priority]: used[running.priority] + heldMs },
    usedAt: at,
  };
}

/** The share of a target's slot time that classes more important than `priority` use, 0 to 1. */
export function measureUseAbove(target: TargetSlots, priority: Priority, at: number): number {
  const above = priorities.slice(0, priorities.indexOf(priority));
  const used = above.reduce((sum, p) => sum + target.used[p], 0) * findDecay(target, at);
  return Math.min(1, used / (usedSpanMs * Math.max(1, target.slots)));
}

function decayUse(target: TargetSlots, at: number): Readonly<Record<Priority, number>> {
  const factor = findDecay(target, at);
  const { critical, normal, browsing, trial } = target.used;
  return {
    critical: critical * factor,
    normal: normal * factor,
    browsing: browsing * factor,
    trial: trial * factor,
  };
}

function findDecay(target: TargetSlots, at: number): number {
  return Math.exp(-Math.max(0, at - target.usedAt) / usedSpanMs);
}
