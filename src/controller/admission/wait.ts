import { priorities, type Plan, type Priority } from "../../model/index.js";
import { measureCapacity, type Capacity } from "./capacity.js";
import { isBackgroundWork } from "./queue.js";
import { canRunBackground, hasFreeSlot } from "./slots.js";
import { listValues } from "./tree.js";
import { findOverlap, foreseeTurns } from "./turns.js";
import type { Admission } from "./types.js";

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

const carefulSpreads = 2;

/** Estimates the wait of a request that would arrive now. */
export function measureWait(
  admission: Admission,
  question: WaitQuestion,
  at: number,
): WaitEstimate {
  const isFree = question.candidates.some((name) => canStartOn(admission, question, name));
  if (isFree) {
    const { leftEveryMs, serviceMs } = measureCapacity(admission, question, at);
    return { waitMs: 0, spreadMs: 0, startEveryMs: leftEveryMs, serviceMs };
  }
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
      const { backInMs, serviceMs } = capacity;
      if (backInMs !== undefined) {
        return { waitMs: backInMs, spreadMs: 0, startEveryMs: capacity.leftEveryMs, serviceMs };
      }
      const own = turns.countUntil(team, place);
      return pickSooner(foreseeLeft(capacity, above + own), foreseeOwed(capacity, own));
    },
  };
}

/** A wait by what more important classes leave. Their bursts make it vary the more they use. */
function foreseeLeft({ leftEveryMs, leftShare, serviceMs }: Capacity, ahead: number): WaitEstimate {
  const burstiness = Math.sqrt((2 - leftShare) / leftShare);
  return {
    waitMs: ahead * leftEveryMs,
    spreadMs: Math.sqrt(ahead) * leftEveryMs * burstiness,
    startEveryMs: leftEveryMs,
    serviceMs,
  };
}

/**
 * A wait by the guaranteed share alone, whoever else waits. Each start of the class comes after many
 * of others, so that it varies little. Without it a class beside a flood of a more important one
 * would be refused for the wait behind that flood, and never use its share.
 */
function foreseeOwed({ owedEveryMs, owedShare, serviceMs }: Capacity, ahead: number): WaitEstimate {
  return {
    waitMs: ahead * owedEveryMs,
    spreadMs: Math.sqrt(ahead * owedShare) * owedEveryMs,
    startEveryMs: owedEveryMs,
    serviceMs,
  };
}

function pickSooner(a: WaitEstimate, b: WaitEstimate): WaitEstimate {
  return findCarefulWait(a) <= findCarefulWait(b) ? a : b;
}

/** The wait that one in some forty is longer than. */
export function findCarefulWait({ waitMs, spreadMs }: WaitEstimate): number {
  return waitMs === Infinity ? Infinity : waitMs + carefulSpreads * spreadMs;
}

/** Whether a target has a slot for a request, whoever else waits. */
export function canStartOn(
  admission: Admission,
  question: { readonly plan: Plan; readonly priority: Priority },
  name: string,
): boolean {
  const target = admission.targets[name];
  if (target === undefined) return false;
  return isBackgroundWork(question) ? canRunBackground(target) : hasFreeSlot(target);
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
