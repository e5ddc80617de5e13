import { compareTerms, type Mark, type TargetView } from "../model/index.js";

/** The primary ended at `mark` from `firstAt` to `lastAt`, as far as its owner saw. */
interface Sighting {
  readonly mark: Mark;
  readonly firstAt: number;
  readonly lastAt: number;
}

/** Where the primary stood and when, as its owner saw it: the oldest first, bounded. */
export interface PositionHistory {
  readonly sightings: readonly Sighting[];
}

/** A history without a sighting. */
export const emptyHistory: PositionHistory = { sightings: [] };

const maxSightings = 256;

/**
 * Adds a primary's status. It counts from when it was asked for: a later time would make replicas
 * look younger than they are. A new term starts afresh, since positions of another log tell no age.
 */
export function observePrimary(history: PositionHistory, view: TargetView): PositionHistory {
  const { mark } = view.status;
  const last = history.sightings.at(-1);
  const fresh = { mark, firstAt: view.askedAt, lastAt: view.askedAt };
  if (last === undefined || !isSameTerm(last.mark, mark)) return { sightings: [fresh] };
  if (mark.offset < last.mark.offset || view.askedAt < last.lastAt) return history;
  const before = history.sightings;
  if (mark.offset > last.mark.offset) {
    return { sightings: [...before.slice(1 - maxSightings), fresh] };
  }
  return { sightings: [...before.slice(0, -1), { ...last, lastAt: view.askedAt }] };
}

/**
 * The upper bound of the age of data that ends at `held`, in milliseconds: the time since the
 * primary was last seen with nothing that `held` lacks. `undefined` when no sighting says so.
 */
export function findAge(history: PositionHistory, held: Mark, now: number): number | undefined {
  const seen = history.sightings.findLast(
    (s) => isSameTerm(s.mark, held) && s.mark.offset <= held.offset,
  );
  return seen === undefined ? undefined : Math.max(0, now - seen.lastAt);
}

/** When the primary was first seen to hold `mark`, on the owner's clock. */
export function findReachedAt(history: PositionHistory, mark: Mark): number | undefined {
  const seen = history.sightings.find(
    (s) => isSameTerm(s.mark, mark) && s.mark.offset >= mark.offset,
  );
  return seen?.firstAt;
}

function isSameTerm(a: Mark, b: Mark): boolean {
  return compareTerms(a.term, b.term) === 0;
}
