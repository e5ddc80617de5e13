import type { Mark, TargetView } from "../model/index.js";
import { findReachedAt, type PositionHistory } from "./history.js";

/** How a replica copies its primary's log, from its reports so far. */
export interface ReplicationProgress {
  readonly mark: Mark;
  readonly reportedAt: number;
  /** Moving average of the time from the primary's reaching a position to the replica's, ms. */
  readonly lagMs: number | undefined;
  /** Moving average of the records copied in a millisecond. */
  readonly recordsPerMs: number | undefined;
}

const sampleWeight = 0.2;

/** Takes a replica's report into what is known of its progress. */
export function observeReplica(
  progress: ReplicationProgress | undefined,
  view: TargetView,
  history: PositionHistory,
): ReplicationProgress {
  const { mark } = view.status;
  const at = view.answeredAt;
  if (progress === undefined)
    return { mark, reportedAt: at, lagMs: undefined, recordsPerMs: undefined };
  const copied = mark.offset - progress.mark.offset;
  if (copied <= 0 || at <= progress.reportedAt) return progress;
  const reachedAt = findReachedAt(history, mark);
  const lag = reachedAt === undefined ? undefined : Math.max(0, at - reachedAt);
  return {
    mark,
    reportedAt: at,
    lagMs: updateAverage(progress.lagMs, lag),
    recordsPerMs: updateAverage(progress.recordsPerMs, copied / (at - progress.reportedAt)),
  };
}

/**
 * Milliseconds until a replica that lacks `missing` records is expected to hold `wanted`: by its lag
 * while that is not overdue, otherwise by its rate. `undefined` when neither is known.
 */
export function estimateCatchUpMs(
  progress: ReplicationProgress | undefined,
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
  return progress?.recordsPerMs === undefined ? undefined : missing / progress.recordsPerMs;
}

function updateAverage(
  average: number | undefined,
  sample: number | undefined,
): number | undefined {
  if (average === undefined || sample === undefined) return sample ?? average;
  return average + sampleWeight * (sample - average);
}
