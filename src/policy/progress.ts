import type { Mark, TargetView } from "../model/index.js";
import { findReachedAt, type PositionHistory } from "./history.js";

/** A replica's progress in copying its primary's log, estimated from its status reports. */
export interface ReplicationProgress {
  readonly mark: Mark;
  readonly reportedAt: number;
  /** Moving average of the time by which the replica reaches a position later than the primary. */
  readonly lagMs: number | undefined;
  /** Moving average of the number of records copied per millisecond. */
  readonly recordsPerMs: number | undefined;
}

const sampleWeight = 0.2;

/** Updates a replica's progress by its status. A status without new records changes nothing. */
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
 * Estimates the milliseconds until a replica that lacks `missing` records holds `wanted`: by its
 * average lag, or by its copy rate when the lag is unknown or has already passed. `undefined` when
 * the rate is unknown too.
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
