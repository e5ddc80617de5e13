import { compareTerms, type Mark } from "../model/index.js";

/** A primary's answer: where its log ended, and when the question was sent. */
export interface PrimaryStatusAnswer {
  readonly status: { readonly mark: Mark };
  readonly askedAt: number;
}

/** The primary ended at `mark` from `firstAt` to `lastAt`, as far as its owner saw. */
interface PositionObservation {
  readonly mark: Mark;
  readonly firstAt: number;
  readonly lastAt: number;
}

/** Where the primary stood and when, as its owner saw it: the oldest first, bounded. */
export interface PositionHistory {
  readonly observations: readonly PositionObservation[];
}

/** A history without a sighting. */
export const emptyHistory: PositionHistory = { observations: [] };

const maxObservations = 512;
const ageToGapRatio = 16;
/** Older data counts as of unknown age. */
const maxHistoryAgeMs = 600_000;

/**
 * Adds a primary's status. It counts from when it was asked for: a later time would make replicas
 * look younger than they are. A new term starts afresh, since positions of another log tell no age.
 */
export function observePrimary(
  history: PositionHistory,
  view: PrimaryStatusAnswer,
): PositionHistory {
  const { mark } = view.status;
  const last = history.observations.at(-1);
  const fresh = { mark, firstAt: view.askedAt, lastAt: view.askedAt };
  if (last === undefined || !isSameTerm(last.mark, mark)) return { observations: [fresh] };
  if (mark.offset < last.mark.offset || view.askedAt < last.lastAt) return history;
  const before = history.observations;
  if (mark.offset > last.mark.offset)
    return { observations: [...thinObservations(before, view.askedAt), fresh] };
  return { observations: [...before.slice(0, -1), { ...last, lastAt: view.askedAt }] };
}

/**
 * The upper bound of the age of data that ends at `held`, in milliseconds: the time since the
 * primary was last seen with nothing that `held` lacks. `undefined` when no sighting says so.
 */
export function findMaxAgeMs(
  history: PositionHistory,
  held: Mark,
  now: number,
): number | undefined {
  const seen = history.observations.findLast(
    (s) => isSameTerm(s.mark, held) && s.mark.offset <= held.offset,
  );
  return seen === undefined ? undefined : Math.max(0, now - seen.lastAt);
}

/**
 * The smallest known mark that holds all that was acknowledged before `time`: where the primary
 * stood when it was first asked at that time or later. `undefined` when it was not asked since.
 */
export function findMarkSince(history: PositionHistory, time: number): Mark | undefined {
  return history.observations.find((s) => s.lastAt >= time)?.mark;
}

/** The newest mark that the primary was seen at. */
export function findNewestMark(history: PositionHistory): Mark | undefined {
  return history.observations.at(-1)?.mark;
}

/**
 * When the primary was first seen to hold `mark`, on the owner's clock. `undefined` when that was
 * before the history begins.
 */
export function findReachedAt(history: PositionHistory, mark: Mark): number | undefined {
  const { observations: sightings } = history;
  const index = sightings.findIndex(
    (s) => isSameTerm(s.mark, mark) && s.mark.offset >= mark.offset,
  );
  const seen = sightings[index];
  if (seen === undefined || (index === 0 && seen.mark.offset > mark.offset)) return undefined;
  return seen.firstAt;
}

/**
 * Makes room by forgetting sightings whose neighbours lie closer together than a sixteenth of their
 * age, so that the history reaches back far beyond the longest lag. An age that falls into a gap
 * comes out greater by that part, never smaller.
 */
function thinObservations(
  sightings: readonly PositionObservation[],
  now: number,
): readonly PositionObservation[] {
  if (sightings.length < maxObservations) return sightings;
  const kept: PositionObservation[] = [];
  sightings.forEach((sighting, i) => {
    const before = kept.at(-1);
    const after = sightings[i + 1];
    const isNeeded =
      before === undefined ||
      after === undefined ||
      after.firstAt - before.lastAt > (now - sighting.firstAt) / ageToGapRatio;
    if (isNeeded) kept.push(sighting);
  });
  return kept.filter((s) => now - s.lastAt < maxHistoryAgeMs).slice(1 - maxObservations);
}

function isSameTerm(a: Mark, b: Mark): boolean {
  return compareTerms(a.term, b.term) === 0;
}
