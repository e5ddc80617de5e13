import { getEntry, listValues } from "./tree.js";
import type { ClassQueue, TeamQueue } from "./types.js";

/** How the teams of a class take turns before some targets. */
export interface Turns {
  /** How many requests of a team wait. */
  readonly findPlace: (team: string) => number;
  /** How many requests of the class are served up to the `place`-th of a team, itself included. */
  readonly countUntil: (team: string, place: number) => number;
}

/** From `tag` on, `slope` requests are served for each millisecond of virtual time. */
interface Corner {
  readonly tag: number;
  readonly served: number;
  readonly slope: number;
}

/**
 * Foresees the turns of a class: a team's requests are served at its tag and one service time apart
 * in virtual time, so that the number served is a sum of ramps, one for each team. O(teams log teams)
 * to build, O(log teams) to ask. A count of the others' queues alone overlooks that a team without a
 * queue may have had its turns already.
 */
export function foreseeTurns(
  queue: ClassQueue,
  candidates: readonly string[],
  serviceMs: number,
): Turns {
  const lengths = new Map<string, number>();
  const bends: { readonly tag: number; readonly change: number }[] = [];
  for (const team of listValues(queue.teams)) {
    const length = countOverlap(team, candidates);
    if (length === 0) continue;
    lengths.set(team.team, length);
    bends.push({ tag: team.tag, change: 1 }, { tag: team.tag + length * serviceMs, change: -1 });
  }
  const corners = makeCorners(bends, serviceMs);
  return {
    findPlace: (team) => lengths.get(team) ?? 0,
    countUntil: (team, place) => {
      const start = Math.max(getEntry(queue.teams, team)?.tag ?? 0, queue.virtualTime);
      const served = countServed(corners, start + place * serviceMs);
      return served + Math.max(0, place - (lengths.get(team) ?? 0));
    },
  };
}

/** The share of a lane's work that falls on the targets in question. */
export function findOverlap(lane: readonly string[], candidates: readonly string[]): number {
  const shared = lane.filter((name) => candidates.includes(name)).length;
  return shared / Math.max(1, lane.length);
}

function countOverlap(team: TeamQueue, candidates: readonly string[]): number {
  let count = 0;
  for (const lane of listValues(team.lanes)) {
    count += (lane.queue?.size ?? 0) * findOverlap(lane.candidates, candidates);
  }
  return count;
}

function makeCorners(
  bends: { readonly tag: number; readonly change: number }[],
  serviceMs: number,
): readonly Corner[] {
  const corners: Corner[] = [];
  let last: Corner = { tag: 0, served: 0, slope: 0 };
  for (const { tag, change } of bends.sort((a, b) => a.tag - b.tag)) {
    const served = last.served + last.slope * (tag - last.tag);
    last = { tag, served, slope: last.slope + change / Math.max(serviceMs, Number.EPSILON) };
    corners.push(last);
  }
  return corners;
}

function countServed(corners: readonly Corner[], tag: number): number {
  let low = 0;
  let high = corners.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((corners[middle]?.tag ?? Infinity) <= tag) low = middle + 1;
    else high = middle;
  }
  const corner = corners[low - 1];
  return corner === undefined ? 0 : corner.served + corner.slope * (tag - corner.tag);
}
