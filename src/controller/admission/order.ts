import { getEntry, listValues } from "./tree.js";
import type { ClassQueue, TeamQueue } from "./types.js";

/** The predicted order in which the waiting requests of a class are served on some targets. */
export interface ServiceOrder {
  /**
   * The number of a team's waiting requests, each weighted by the share of its candidates that are
   * among the targets.
   */
  readonly countWaiting: (team: string) => number;
  /**
   * The number of requests of the class that are served up to and including the `position`-th
   * request of a team.
   */
  readonly countServedUntil: (team: string, position: number) => number;
}

/**
 * A segment of a piecewise linear function: from `virtualTime` on, `slope` requests are served for
 * each millisecond of virtual time.
 */
interface ServiceSegment {
  readonly virtualTime: number;
  readonly served: number;
  readonly slope: number;
}

/**
 * Predicts the fair-queuing order of a class. In virtual time a team's requests are served from its
 * start tag on, one service time apart, so that the number served is a sum of ramps, one for each
 * team. Adding up the lengths of the other teams' queues would be wrong for a team without waiting
 * requests, which may already have used its share. Takes O(teams log teams) to build and O(log
 * teams) to query.
 */
export function predictServiceOrder(
  queue: ClassQueue,
  candidates: readonly string[],
  serviceMs: number,
): ServiceOrder {
  const lengths = new Map<string, number>();
  const slopeChanges: { readonly virtualTime: number; readonly change: number }[] = [];
  for (const team of listValues(queue.teams)) {
    const length = countOverlappingRequests(team, candidates);
    if (length === 0) continue;
    lengths.set(team.team, length);
    slopeChanges.push(
      { virtualTime: team.startTag, change: 1 },
      { virtualTime: team.startTag + length * serviceMs, change: -1 },
    );
  }
  const segments = buildSegments(slopeChanges, serviceMs);
  return {
    countWaiting: (team) => lengths.get(team) ?? 0,
    countServedUntil: (team, position) => {
      const start = Math.max(getEntry(queue.teams, team)?.startTag ?? 0, queue.virtualTime);
      const served = countServedAt(segments, start + position * serviceMs);
      return served + Math.max(0, position - (lengths.get(team) ?? 0));
    },
  };
}

/** The share of a lane's candidates that are among the given targets, 0 to 1. */
export function computeOverlap(lane: readonly string[], candidates: readonly string[]): number {
  const shared = lane.filter((name) => candidates.includes(name)).length;
  return shared / Math.max(1, lane.length);
}

function countOverlappingRequests(team: TeamQueue, candidates: readonly string[]): number {
  let count = 0;
  for (const lane of listValues(team.lanes)) {
    count += (lane.queue?.size ?? 0) * computeOverlap(lane.candidates, candidates);
  }
  return count;
}

function buildSegments(
  slopeChanges: { readonly virtualTime: number; readonly change: number }[],
  serviceMs: number,
): readonly ServiceSegment[] {
  const segments: ServiceSegment[] = [];
  let last: ServiceSegment = { virtualTime: 0, served: 0, slope: 0 };
  for (const { virtualTime, change } of slopeChanges.sort(
    (a, b) => a.virtualTime - b.virtualTime,
  )) {
    const served = last.served + last.slope * (virtualTime - last.virtualTime);
    last = {
      virtualTime,
      served,
      slope: last.slope + change / Math.max(serviceMs, Number.EPSILON),
    };
    segments.push(last);
  }
  return segments;
}

function countServedAt(segments: readonly ServiceSegment[], virtualTime: number): number {
  let low = 0;
  let high = segments.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((segments[middle]?.virtualTime ?? Infinity) <= virtualTime) low = middle + 1;
    else high = middle;
  }
  const segment = segments[low - 1];
  return segment === undefined
    ? 0
    : segment.served + segment.slope * (virtualTime - segment.virtualTime);
}
