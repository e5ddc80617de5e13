import { compareTerms, type Mark } from "../model/index.js";
import { findNewestMark, findReachedAt, type PositionHistory } from "../policy/index.js";

/** What a replica's reports say about its log. Times are on this process's clock, in milliseconds. */
export interface ReplicaRecord {
  /** The newest reported end of its log. */
  readonly mark: Mark;
  /** When the newest report arrived. */
  readonly reportedAt: number;
  /** When this end was first reported. */
  readonly changedAt: number;
  /** How far its log is behind that of the primary; undefined before it can be estimated. */
  readonly delayMs: number | undefined;
  /** For how long, at the newest report, it had received nothing although the primary's log had grown. */
  readonly unchangedMs: number;
}

/** The end of a replica's log, and when the command that reported it was sent and answered. */
export interface ReplicaReport {
  readonly mark: Mark;
  readonly askedAt: number;
  readonly at: number;
}

/** A replica that has received nothing for this long, while the primary's log grew, counts as stalled. */
const stalledAfterMs = 1000;
/** A report says nothing about positions that it lacks after this time. */
const maxReportAgeMs = 1000;

/** Applies a report to the record of a replica. */
export function recordReport(
  record: ReplicaRecord | undefined,
  report: ReplicaReport,
  history: PositionHistory,
): ReplicaRecord {
  const { mark, at } = report;
  const known = record === undefined || isSameTerm(record.mark, mark) ? record : undefined;
  const isLate = record !== undefined && report.askedAt < record.reportedAt;
  if (isLate && (known === undefined || mark.offset < known.mark.offset)) return record;
  const isShorter = known !== undefined && mark.offset < known.mark.offset;
  const before = isShorter ? undefined : known;
  const changedAt = before?.mark.offset === mark.offset ? before.changedAt : at;
  const reportedAt = Math.max(at, before?.reportedAt ?? at);
  const next = isTermOfPrimary(mark, history) ? findMissingSince(history, mark) : undefined;
  return {
    mark,
    reportedAt,
    changedAt,
    delayMs: estimateDelay(before, report, history),
    unchangedMs: next === undefined ? 0 : Math.max(0, reportedAt - Math.max(changedAt, next)),
  };
}

/** Whether a replica counts as stalled: it is not expected to reach any position that it lacks. */
export function isStalled({ unchangedMs }: ReplicaRecord): boolean {
  return unchangedMs >= stalledAfterMs;
}

/** Whether a replica has reported a position, in the term of the primary's newest one. */
export function holdsMark(
  record: ReplicaRecord | undefined,
  history: PositionHistory,
  mark: Mark,
): boolean {
  return isComparable(record, history, mark) && record.mark.offset >= mark.offset;
}

/**
 * Estimates in how many milliseconds a replica has a position: 0 if it is expected to have it now, `Infinity` if
 * it is stalled, undefined if nothing is known. A position that the primary was not yet observed to hold counts as
 * reached at `requiredAt`, when a statement first required it.
 */
export function estimateReadyMs(
  record: ReplicaRecord | undefined,
  history: PositionHistory,
  mark: Mark,
  now: number,
  requiredAt = now,
): number | undefined {
  if (!isComparable(record, history, mark)) return undefined;
  if (holdsMark(record, history, mark)) return 0;
  if (now - record.reportedAt > maxReportAgeMs) return undefined;
  if (isStalled(record)) return Infinity;
  if (record.delayMs === undefined) return undefined;
  const reachedAt = findReachedTime(history, mark) ?? requiredAt;
  // A replica that received nothing for some time is not expected to receive anything for as long again.
  const resumesAt = record.reportedAt + record.unchangedMs;
  return Math.max(0, Math.max(reachedAt + record.delayMs, resumesAt) - now);
}

/**
 * Estimates the delay of a replica from a report. The primary held a missing position before the report was asked
 * for, so the delay is at least the time since; it is at most the age of a position that is reported for the first
 * time. The estimate before is kept within these bounds. A position first reported long after it arrived gives a
 * bound that is far too great, which this ignores.
 */
function estimateDelay(
  before: ReplicaRecord | undefined,
  { mark, askedAt, at }: ReplicaReport,
  history: PositionHistory,
): number | undefined {
  if (!isTermOfPrimary(mark, history)) return before?.delayMs;
  const missingSince = findMissingSince(history, mark);
  const least = missingSince === undefined ? 0 : Math.max(0, askedAt - missingSince);
  const reachedAt = findReachedTime(history, mark) ?? history.observations.at(-1)?.lastAt;
  const isNew = before !== undefined && before.mark.offset < mark.offset;
  const isRecent = isNew && at - before.reportedAt <= maxReportAgeMs;
  const most = reachedAt === undefined ? Infinity : Math.max(least, at - reachedAt);
  if (before?.delayMs !== undefined)
    return Math.max(least, isNew ? Math.min(before.delayMs, most) : before.delayMs);
  if (isRecent && most < Infinity) return most;
  return least > 0 ? least : undefined;
}

/** When the primary was first observed to hold a position; undefined if it was not observed to hold it. */
function findReachedTime(history: PositionHistory, mark: Mark): number | undefined {
  const newest = findNewestMark(history);
  if (newest === undefined || newest.offset < mark.offset) return undefined;
  return findReachedAt(history, mark) ?? history.observations[0]?.firstAt;
}

/** When the primary was first observed to hold more than this; undefined if it was not observed to. */
function findMissingSince(history: PositionHistory, held: Mark): number | undefined {
  return history.observations.find(({ mark }) => mark.offset > held.offset)?.firstAt;
}

function isComparable(
  record: ReplicaRecord | undefined,
  history: PositionHistory,
  mark: Mark,
): record is ReplicaRecord {
  if (record === undefined || !isSameTerm(record.mark, mark)) return false;
  return isTermOfPrimary(mark, history);
}

/** Whether a position is in the term of the primary's newest one. */
function isTermOfPrimary(mark: Mark, history: PositionHistory): boolean {
  const newest = findNewestMark(history);
  return newest !== undefined && isSameTerm(newest, mark);
}

function isSameTerm(a: Mark, b: Mark): boolean {
  return compareTerms(a.term, b.term) === 0;
}
