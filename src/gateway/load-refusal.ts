import { isClosedFor, type LoadCandidate } from "./load-choice.js";

/** A level that all gateways of a statement refuse. Times are in milliseconds. */
export interface ClosedLevel {
  /** Statements refused since the last probe. */
  readonly refusedCount: number;
  readonly probedAt: number;
  /** When it was first and last found closed, without a longer gap in between. */
  readonly since: number;
  readonly seenAt: number;
}

/** What becomes of a statement by the reports of its gateways. */
export type LoadVerdict =
  | { readonly type: "send" }
  /** All its gateways would refuse it; it is sent to learn whether they still do. */
  | { readonly type: "probe"; readonly closed: ClosedLevel }
  | { readonly type: "refuse"; readonly closed: ClosedLevel; readonly retryAfterMs: number };

/** The statement's level, and the most important level of the configuration. */
export interface LevelQuery {
  readonly level: number | undefined;
  readonly mostImportant: number | undefined;
}

/** One of so many statements of a closed level is sent. */
const statementsPerProbe = 10;
/** The longest time between two probes while there are statements, in milliseconds. */
const maxProbeIntervalMs = 100;
/** The shortest retry delay, in milliseconds: a gateway reports no more often than this. */
const minRetryMs = 50;
/** The longest retry delay that comes from the time a level has been closed, in milliseconds. */
const maxClosedRetryMs = 1000;
/**
 * A level found closed again within this time has stayed closed, in milliseconds: twice the age at which reports no
 * longer count, so that a statement sent after that can bring the next one.
 */
const maxClosedGapMs = 200;

/**
 * Decides whether a statement is sent. It is refused when each of its gateways would refuse it by its level: one
 * without a report may admit it. Gateways that failed recently count only if there are no others. Statements of
 * the most important level and those without a level are always sent.
 */
export function decideByLoad(
  candidates: readonly LoadCandidate[],
  { level, mostImportant }: LevelQuery,
  closed: ClosedLevel | undefined,
  now: number,
  draw: () => number,
): LoadVerdict {
  const usable = candidates.filter(({ isAvoided }) => !isAvoided);
  const isLeveled = level !== undefined && mostImportant !== undefined && level > mostImportant;
  if (!isLeveled || usable.length === 0 || !usable.every((c) => isClosedFor(c, level)))
    return { type: "send" };
  const { refusedCount, probedAt } = closed ?? { refusedCount: 0, probedAt: now };
  const since = closed !== undefined && isContinued(closed, now) ? closed.since : now;
  const seen = { since, seenAt: now };
  if (refusedCount >= statementsPerProbe - 1 || now - probedAt >= maxProbeIntervalMs)
    return { type: "probe", closed: { ...seen, refusedCount: 0, probedAt: now } };
  const waitMs = Math.min(...usable.map(({ load }) => load?.waitMs ?? 0));
  // The wait is that of the most important level. One that has long been closed is likely to stay so for as long.
  const closedMs = Math.min(now - since, maxClosedRetryMs);
  const retryAfterMs = Math.max(minRetryMs, waitMs, closedMs) * (1 + draw());
  const next = { ...seen, refusedCount: refusedCount + 1, probedAt };
  return { type: "refuse", closed: next, retryAfterMs };
}

/** What is kept of a closed level when one of its statements is sent because the reports do not close it now. */
export function noteSent(closed: ClosedLevel | undefined, now: number): ClosedLevel | undefined {
  if (closed === undefined || !isContinued(closed, now)) return undefined;
  return { ...closed, refusedCount: 0, probedAt: now };
}

function isContinued({ seenAt }: ClosedLevel, now: number): boolean {
  return now - seenAt <= maxClosedGapMs;
}
