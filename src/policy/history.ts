import { compareTerms, type Mark } from "../model/index.js";

/** The end of a primary's log from its status answer, and when that status was requested. */
export interface PrimaryStatusAnswer {
  readonly status: { readonly mark: Mark };
  readonly askedAt: number;
}

/** The primary's log was observed to end at `mark` from `firstAt` to `lastAt`. */
interface PositionObservation {
  readonly mark: Mark;
  readonly firstAt: number;
  readonly lastAt: number;
}

/** When the end of the primary's log was at which mark, the oldest observation first. */
export interface PositionHistory {
  readonly observations: readonly PositionObservation[];
}

/** A history without observations. */
export const emptyHistory: PositionHistory = { observations: [] };

const maxObservations = 512;
/** An observation is kept when the gap around it is more than its age divided by this. */
const ageToGapRatio = 16;
/** Observations that are older are dropped; the age of such data is then unknown. */
const maxHistoryAgeMs = 600_000;

/**
 * Adds a primary's status to the history. The observation is dated by when the status was requested; a
 * later time would make the data of replicas appear younger than it is. With a new term the history
 * starts again, since positions in the log of another term say nothing about age.
 */
export function observePrimary(
  history: PositionHistory,
  answer: PrimaryStatusAnswer,
): PositionHistory {
  const { mark } = answer.status;
  const last = history.observations.at(-1);
  const added = { mark, firstAt: answer.askedAt, lastAt: answer.askedAt };
  if (last === undefined || !isSameTerm(last.mark, mark)) return { observations: [added] };
  if (mark.offset < last.mark.offset || answer.askedAt < last.lastAt) return history;
  const earlier = history.observations;
  if (mark.offset > last.mark.offset)
    return { observations: [...thinObservations(earlier, answer.askedAt), added] };
  return { observations: [...earlier.slice(0, -1), { ...last, lastAt: answer.askedAt }] };
}

/**
 * An upper bound of the age of the data in a log that ends at `held`, in milliseconds: the time since
 * the primary's log was last observed to hold no more. `undefined` without such an observation.
 */
export function findMaxAgeMs(
  history: PositionHistory,
  held: Mark,
  now: number,
): number | undefined {
  const found = history.observations.findLast(
    (observation) => isSameTerm(observation.mark, held) && observation.mark.offset <= held.offset,
  );
  return found === undefined ? undefined : Math.max(0, now - found.lastAt);
}

/**
 * The smallest known mark that covers all writes acknowledged before `time`: the end of the primary's
 * log in the first status requested at that time or later. `undefined` without such a status.
 */
export function findMarkSince(history: PositionHistory, time: number): Mark | undefined {
  return history.observations.find((observation) => observation.lastAt >= time)?.mark;
}

/** The latest observed end of the primary's log. */
export function findNewestMark(history: PositionHistory): Mark | undefined {
  return history.observations.at(-1)?.mark;
}

/**
 * When the primary was first observed to hold `mark`, on the owner's clock. `undefined` when that was
 * before the first observation.
 */
export function findReachedAt(history: PositionHistory, mark: Mark): number | undefined {
  const { observations } = history;
  const index = observations.findIndex(
    (observation) => isSameTerm(observation.mark, mark) && observation.mark.offset >= mark.offset,
  );
  const found = observations[index];
  if (found === undefined || (index === 0 && found.mark.offset > mark.offset)) return undefined;
  return found.firstAt;
}

/**
 * Limits the number of observations. It drops those whose neighbours are closer together than a
 * sixteenth of their age, so that the history reaches back far beyond the longest replication lag. An
 * age computed across such a gap is too great by at most that fraction, and never too small.
 */
function thinObservations(
  observations: readonly PositionObservation[],
  now: number,
): readonly PositionObservation[] {
  if (observations.length < maxObservations) return observations;
  const kept: PositionObservation[] = [];
  observations.forEach((observation, i) => {
    const previous = kept.at(-1);
    const following = observations[i + 1];
    const isNeeded =
      previous === undefined ||
      following === undefined ||
      following.firstAt - previous.lastAt > (now - observation.firstAt) / ageToGapRatio;
    if (isNeeded) kept.push(observation);
  });
  return kept
    .filter((observation) => now - observation.lastAt < maxHistoryAgeMs)
    .slice(1 - maxObservations);
}

function isSameTerm(a: Mark, b: Mark): boolean {
  return compareTerms(a.term, b.term) === 0;
}
