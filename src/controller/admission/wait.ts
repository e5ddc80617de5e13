import { priorities, type Plan, type Priority } from "../../model/index.js";
import { isTrialWork } from "./queue.js";
import { canRunTrial, countUsableSlots, hasFreeSlot, measureUseAbove } from "./slots.js";
import { listValues } from "./tree.js";
import type { Admission, ClassQueue, TargetSlots, TeamQueue } from "./types.js";

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
  if (isFree) return { ...measureCapacity(admission, question, at), waitMs: 0 };
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
  const ranks = rankTeams(admission.classes[question.priority], question.candidates);
  const above = countAbove(admission, question);
  return {
    findPlace: ranks.findPlace,
    estimate: (team, place) => {
      if (capacity.backInMs !== undefined) return { ...capacity, waitMs: capacity.backInMs };
      const ahead = above + ranks.countAhead(team, place) + place;
      return { ...capacity, waitMs: ahead * capacity.startEveryMs };
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
  for (const target of listTargets(admission, question.candidates)) {
    serviceMs = Math.max(serviceMs, target.serviceMs);
    if (target.slots === 0) backAt = Math.min(backAt, target.backAt ?? Infinity);
    const slots = countUsableSlots(target, isTrial) - (stalled.get(target.target) ?? 0);
    if (slots > 0)
      starts += (slots * findShare(admission, target, question, at)) / target.serviceMs;
  }
  const startEveryMs = starts > 0 ? 1 / starts : Infinity;
  const isBackLater = starts === 0 && backAt < Infinity;
  const backInMs = isBackLater ? Math.max(0, backAt - at) : undefined;
  return { startEveryMs, serviceMs, backInMs };
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

/** How the teams of a class stand in line for some targets. */
interface TeamRanks {
  /** How many requests of a team wait before one that arrives now. */
  readonly findPlace: (team: string) => number;
  /** How many requests of the other teams are served before the `place`-th of a team. */
  readonly countAhead: (team: string, place: number) => number;
}

/**
 * Ranks the teams of a class: as teams take turns, at most `place` requests of each other team come
 * before the `place`-th of one's own. O(teams) to build, O(log teams) to ask.
 */
function rankTeams(queue: ClassQueue, candidates: readonly string[]): TeamRanks {
  const sizes = new Map<string, number>();
  for (const team of listValues(queue.teams)) {
    if (team.size > 0) sizes.set(team.team, countOverlap(team, candidates));
  }
  const sorted = [...sizes.values()].sort((a, b) => a - b);
  const sums = [0];
  for (const size of sorted) sums.push((sums.at(-1) ?? 0) + size);
  return {
    findPlace: (team) => sizes.get(team) ?? 0,
    countAhead: (team, place) => {
      const short = countBelow(sorted, place);
      const all = (sums[short] ?? 0) + (sorted.length - short) * place;
      return all - Math.min(place, sizes.get(team) ?? 0);
    },
  };
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

function countOverlap(team: TeamQueue, candidates: readonly string[]): number {
  let count = 0;
  for (const lane of listValues(team.lanes)) {
    count += (lane.queue?.size ?? 0) * findOverlap(lane.candidates, candidates);
  }
  return count;
}

/** The share of a lane's work that falls on the targets in question. */
function findOverlap(lane: readonly string[], candidates: readonly string[]): number {
  const shared = lane.filter((name) => candidates.includes(name)).length;
  return shared / Math.max(1, lane.length);
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

function countBelow(sorted: readonly number[], limit: number): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((sorted[middle] ?? 0) < limit) low = middle + 1;
    else high = middle;
  }
  return low;
}
