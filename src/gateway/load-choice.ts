import type { KnownLoad } from "./load-table.js";

/** One of a statement's gateways, with what the choice between them depends on. */
export interface LoadCandidate {
  readonly vm: string;
  /** Gateways of the same rank may stand for each other; see `rankGateway`. */
  readonly rank: number;
  /** What a round trip to it is assumed to take. */
  readonly distanceMs: number;
  /** Whether it failed recently, so that others are preferred. */
  readonly isAvoided: boolean;
  /** Whether it is this process, whose queue decides without a message. */
  readonly isLocal: boolean;
  /** Its last report; undefined when none is known or the last one is too old. */
  readonly load: KnownLoad | undefined;
}

/** A smaller difference between two gateways does not count, in milliseconds. */
const minDifferenceMs = 10;

/** Whether a gateway refuses statements of a level, by its last report. */
export function isClosedFor({ load, isLocal }: LoadCandidate, level: number | undefined): boolean {
  const lowest = load?.lowestLevel;
  return !isLocal && lowest !== undefined && level !== undefined && level > lowest;
}

/**
 * Orders a statement's gateways by their load, the preferred one first. The first gives way to another of its rank
 * with a shorter wait, for a part of the statements: nodes with the same reports would otherwise all move their
 * statements at once, and back with the next reports. Gateways that refuse the level follow those of their
 * region that may admit it. `draw` gives a number of [0, 1); `isProbeDue` tells whether a gateway without a report gets a statement.
 */
export function orderByLoad<T extends LoadCandidate>(
  candidates: readonly T[],
  level: number | undefined,
  draw: () => number,
  isProbeDue: (vm: string) => boolean,
): readonly T[] {
  const front = findFront(candidates, draw, isProbeDue);
  const ordered =
    front === undefined ? candidates : [front, ...candidates.filter((c) => c !== front)];
  const avoided = ordered.filter((c) => c.isAvoided);
  const usable = ordered.filter((c) => !c.isAvoided);
  // Within a region only: all statements of a closed level would otherwise cross the link between regions.
  const distances = [...new Set(usable.map(({ distanceMs }) => distanceMs))];
  const byDistance = distances.flatMap((distanceMs) => {
    const atDistance = usable.filter((c) => c.distanceMs === distanceMs);
    const open = atDistance.filter((c) => !isClosedFor(c, level));
    return [...open, ...atDistance.filter((c) => isClosedFor(c, level))];
  });
  return [...byDistance, ...avoided];
}

/** The gateway that goes before the first one; undefined when that stays. */
function findFront<T extends LoadCandidate>(
  candidates: readonly T[],
  draw: () => number,
  isProbeDue: (vm: string) => boolean,
): T | undefined {
  const first = candidates[0];
  if (first?.load === undefined || first.isAvoided || first.load.waitMs < minDifferenceMs)
    return undefined;
  const peers = candidates.filter((c) => c !== first && !c.isAvoided && c.rank === first.rank);
  // Without a statement it never reports, and nothing would ever move to it.
  const unknown = peers.find((c) => c.load === undefined && !c.isLocal);
  if (unknown !== undefined && isProbeDue(unknown.vm)) return unknown;
  const firstMs = first.load.waitMs + first.distanceMs;
  let best: { readonly candidate: T; readonly costMs: number } | undefined;
  for (const candidate of peers) {
    if (candidate.load === undefined) continue;
    const costMs = candidate.load.waitMs + candidate.distanceMs;
    if (best === undefined || costMs < best.costMs) best = { candidate, costMs };
  }
  if (best === undefined || firstMs - best.costMs < minDifferenceMs) return undefined;
  return draw() < (firstMs - best.costMs) / firstMs ? best.candidate : undefined;
}
