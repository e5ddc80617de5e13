import { priorities, type Plan, type Priority } from "../../model/index.js";
import { isTrialWork } from "./queue.js";
import { canRunTrial, countUsableSlots, hasFreeSlot, measureUseAbove } from "./slots.js";
import { listValues } from "./tree.js";
import { findOverlap, foreseeTurns } from "./turns.js";
import type { Admission, TargetSlots } from "./types.js";

/** What decides how long a request would wait. */
export interface WaitQuestion {
  readonly team: string;
  readonly plan: Plan;
  readonly priority: Priority;
  readonly candidates: readonly string[];
}

/** How long a request would wait, and how fast its class is served. */
export interface WaitEstimate {
  /** Infinity when none of its targets has slots and none is expected back. */
  readonly waitMs: number;
  /** The standard deviation of the wait. */
  readonly spreadMs: number;
  /** Milliseconds between two starts that its class gets on these targets. */
  readonly startEveryMs: number;
  readonly serviceMs: number;
}

/** A statement that holds its slot this many times the usual time no longer counts as about to end. */
const stalledFactor = 20;
const stalledAfterMs = 1000;

/** Estimates the wait of a request that would arrive now. */
export function measureWait(
  admission: Admission,
  question: WaitQuestion,
  at: number,
): WaitEstimate {
  const isFree = question.candidates.some((name) => canStartOn(admission, question, name));
  if (isFree) return { ...measureCapacity(admission, question, at), waitMs: 0, spreadMs: 0 };
  const line = measureLine(admission, question, at);
  return line.estimate(question.team, line.findPlace(question.team) + 1);
}

/** The line before some targets for one class. */
export interface Line {
  /** How many requests of a team stand in it. */
  readonly findPlace: (team: string) => number;
  /** Estimates the wait of the `place`-th request of a team. */
  readonly estimate: (team: string, place: number) => WaitEstimate;
}

/** Measures the line that a request's class forms before its targets, for many questions. */
export function measureLine(admission: Admission, question: WaitQuestion, at: number): Line {
  const capacity = measureCapacity(admission, question, at);
  const queue = admission.classes[question.priority];
  const turns = foreseeTurns(queue, question.candidates, capacity.serviceMs);
  const above = countAbove(admission, question);
  return {
    findPlace: turns.findPlace,
    estimate: (team, place) => {
      if (capacity.backInMs !== undefined) {
        return { ...capacity, waitMs: capacity.backInMs, spreadMs: 0 };
      }
      const ahead = above + turns.countUntil(team, place);
      return {
        ...capacity,
        waitMs: ahead * capacity.startEveryMs,
        spreadMs: Math.sqrt(ahead) * capacity.startEveryMs * findBurstiness(capacity.share),
      };
    },
  };
}

/** How fast the targets of a request start requests of its class. */
function measureCapacity(admission: Admission, question: WaitQuestion, at: number) {
  const isTrial = isTrialWork(question);
  const stalled = countStalled(admission, at);
  let starts = 0;
  let serviceMs = 0;
  let backAt = Infinity;
  let share = 1;
  for (const target of listTargets(admission, question.candidates)) {
    serviceMs = Math.max(serviceMs, target.serviceMs);
    if (target.slots === 0) backAt = Math.min(backAt, target.backAt ?? Infinity);
    const slots = countUsableSlots(target, isTrial) - (stalled.get(target.target) ?? 0);
    if (slots <= 0) continue;
    const left = findShare(admission, target, question, at);
    starts += (slots * left) / target.serviceMs;
    share = Math.min(share, left);
  }
  const startEveryMs = starts > 0 ? 1 / starts : Infinity;
  const isBackLater = starts === 0 && backAt < Infinity;
  const backInMs = isBackLater ? Math.max(0, backAt - at) : undefined;
  return { startEveryMs, serviceMs, backInMs, share };
}

/**
 * How much more a wait varies when more important classes take all but `share` of the slots: their
 * bursts interrupt it. For exponential service times the variance grows by (1 + use) / (1 - use).
 */
function findBurstiness(share: number): number {
  return Math.sqrt((2 - share) / share);
}

/** Whether a target has a slot for a request, whoever else waits. */
export function canStartOn(
  admission: Admission,
  question: { readonly plan: Plan; readonly priority: Priority },
  name: string,
): boolean {
  const target = admission.targets[name];
  if (target === undefined) return false;
  return isTrialWork(question) ? canRunTrial(target) : hasFreeSlot(target);
}

/** The known ones of some targets. */
export function listTargets(
  admission: Admission,
  names: readonly string[],
): readonly TargetSlots[] {
  return names.flatMap((name) => admission.targets[name] ?? []);
}

/** Requests of more important classes that some targets serve first. */
function countAbove(admission: Admission, question: WaitQuestion): number {
  const above = priorities.slice(0, priorities.indexOf(question.priority));
  let count = 0;
  for (const priority of above) {
    for (const set of listValues(admission.classes[priority].sets)) {
      count += set.count * findOverlap(set.candidates, question.candidates);
    }
  }
  return count;
}

/** What more important classes leave of a target, by their recent use; never less than the guarantee. */
function findShare(
  admission: Admission,
  target: TargetSlots,
  question: WaitQuestion,
  at: number,
): number {
  const guaranteed = admission.settings.guaranteedShare[question.priority];
  return Math.max(guaranteed, 1 - measureUseAbove(target, question.priority, at));
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
