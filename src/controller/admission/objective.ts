import { computeOverlap } from "./order.js";
import { countBefore, findFirstEntry, findFirstFrom, listValues } from "./tree.js";
import type { Lane, TeamQueue, WaitingRequest } from "./types.js";

/** Digits of a time in microseconds, up to 2^53. */
const timeDigits = 16;
const sequenceDigits = 16;
const microsecondsPerMs = 1000;

/** The key of a time; keys of later times are greater. Times out of the range count as its end. */
export function makeTimeKey(time: number): string {
  const microseconds = Math.round(time * microsecondsPerMs);
  const bounded = Math.min(Number.MAX_SAFE_INTEGER, Math.max(0, microseconds || 0));
  return String(bounded).padStart(timeDigits, "0");
}

/** The key of a request in the order of the ends of objectives, and then of arrival. */
export function makeObjectiveKey(objectiveAt: number, seq: number): string {
  return `${makeTimeKey(objectiveAt)} ${String(seq).padStart(sequenceDigits, "0")}`;
}

/**
 * Whether a request can still meet its objective. `inTimeFrom` is the key of the time at which a statement
 * that starts now is expected to end. Requests without an objective can't miss one.
 */
export function isInTime(waiting: WaitingRequest, inTimeFrom: string): boolean {
  return waiting.objectiveKey === undefined || waiting.objectiveKey >= inTimeFrom;
}

/**
 * Whether a request of a class goes before another of the same team: with objectives, those that can still
 * be met first, in the order of their ends; all others in order of arrival.
 */
export function isServedBefore(a: WaitingRequest, b: WaitingRequest, inTimeFrom: string): boolean {
  if (a.objectiveKey === undefined || b.objectiveKey === undefined) return a.seq < b.seq;
  const isInTimeA = isInTime(a, inTimeFrom);
  if (isInTimeA !== isInTime(b, inTimeFrom)) return isInTimeA;
  return isInTimeA ? a.objectiveKey < b.objectiveKey : a.seq < b.seq;
}

/** The request of a lane that is served next. */
export function findNextInLane(lane: Lane, inTimeFrom: string): WaitingRequest | undefined {
  const inTime = findFirstFrom(lane.byObjective, inTimeFrom);
  return (inTime ?? findFirstEntry(lane.queue))?.value;
}

/** The waiting requests of a team that are served before another of its requests. */
export interface CountAhead {
  readonly inTime: number;
  readonly late: number;
}

/**
 * Counts the waiting requests of a team that are served before one that arrives now: those in time whose
 * objectives end no later, or all if it can only be late, and all late ones. Each is weighted by the share of
 * its candidates that are among the given ones.
 */
export function countAheadInTeam(
  team: TeamQueue | undefined,
  objectiveAt: number,
  inTimeFrom: string,
  candidates: readonly string[],
): CountAhead {
  const key = makeObjectiveKey(objectiveAt, Number.MAX_SAFE_INTEGER);
  let inTime = 0;
  let late = 0;
  for (const lane of listValues(team?.lanes)) {
    const overlap = computeOverlap(lane.candidates, candidates);
    const lateHere = countBefore(lane.byObjective, inTimeFrom);
    const size = lane.byObjective?.size ?? 0;
    const upTo = key < inTimeFrom ? size : countBefore(lane.byObjective, key);
    late += lateHere * overlap;
    inTime += (upTo - lateHere) * overlap;
  }
  return { inTime, late };
}

/** A waiting request of a team, with its lane and whether it can still meet its objective. */
export interface ServiceEntry {
  readonly lane: Lane;
  readonly waiting: WaitingRequest;
  readonly inTime: boolean;
}

/** The waiting requests of a team in the order in which they are served, with the lane of each. */
export function listInServiceOrder(
  team: TeamQueue,
  findInTimeFrom: (lane: Lane) => string,
): readonly ServiceEntry[] {
  const entries = [...listValues(team.lanes)].flatMap((lane) => {
    const inTimeFrom = findInTimeFrom(lane);
    return [...listValues(lane.queue)].map((waiting) => ({
      lane,
      waiting,
      inTime: isInTime(waiting, inTimeFrom),
    }));
  });
  return entries.sort((a, b) => {
    if (a.inTime !== b.inTime) return a.inTime ? -1 : 1;
    const isBefore = a.inTime
      ? (a.waiting.objectiveKey ?? "") < (b.waiting.objectiveKey ?? "")
      : a.waiting.seq < b.waiting.seq;
    return isBefore ? -1 : 1;
  });
}
