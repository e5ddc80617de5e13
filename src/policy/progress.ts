import type { Mark, TargetView } from "../model/index.js";
import { findReachedAt, type PositionHistory } from "./history.js";

/** How a replica copies its primary's log, from its reports so far. */
export interface Progress {
  readonly mark: Mark;
  readonly at: number;
  /** Moving average of the time from the primary's reaching a position to the replica's, ms. */
  readonly lagMs: number | undefined;
  /** Moving average of the records copied in a millisecond. */
  readonly rate: number | undefined;
}

const weight = 0.2;

/** Takes a replica's report into what is known of its progress. */
export function observeReplica(
  progress: Progress | undefined,
  view: TargetView,
  history: PositionHistory,
): Progress {
  const { mark } = view.status;
  const at = view.answeredAt;
  if (progress === undefined) return { mark, at, lagMs: undefined, rate: undefined };
  const copied = mark.offset - progress.mark.offset;
  if (copied <= 0 || at <= progress.at) return progress;
  const reachedAt = findReachedAt(history, mark);
  const lag = reachedAt === undefined ? undefined : Math.max(0, at - reachedAt);
  return {
    mark,
    at,
    lagMs: mixIn(progress.lagMs, lag),
    rate: mixIn(progress.rate, copied / (at - progress.at)),
  };
}

/**
 * Milliseconds until a replica that lacks `missing` records is expected to hold `wanted`: by its lag
 * while that is not overdue, otherwise by its rate. `undefined` when neither is known.
 */
export function findCatchUp(
  progress: Progress | undefined,
  history: PositionHistory,
  wanted: Mark,
  missing: number,
  now: number,
): number | undefined {
  const reachedAt = findReachedAt(history, wanted);
  if (progress?.lagMs !== undefined && reachedAt !== undefined) {
    const byLag = reachedAt + progress.lagMs - now;
    if (byLag > 0) return byLag;
  }
  return progress?.rate === undefined ? undefined : missing / progress.rate;
}

function mixIn(average: number | undefined, sample: number | undefined): number | undefined {
  if (average === undefined || sample === undefined) return sample ?? average;
  return average + weight * (sample - average);
}
