import type { ErrorCode } from "../statement/index.js";

/** The fading mean of a gateway's response times for reads of a group. Times are in milliseconds. */
export interface ResponseEstimate {
  readonly meanMs: number;
  /** The same over a longer time, which shows whether the times grow or fall. */
  readonly slowMeanMs: number;
  /** When the newest read was recorded. */
  readonly at: number;
}

/** How a read that was sent to a gateway ended. */
export type ReadOutcome =
  | { readonly type: "complete" }
  | { readonly type: "error"; readonly code: ErrorCode }
  /** The gateway left it to another one, and ran nothing. */
  | { readonly type: "redirected" }
  /** The gateway did not answer in the time that it was given. */
  | { readonly type: "silent" };

/** The reads that the preferred gateway of a group leaves to the other one of its rank. */
export interface SharePair {
  /** The part of the reads that goes to the other gateway, from `probePart` to `maxMovedPart`. */
  readonly movedPart: number;
  readonly updatedAt: number;
  /** The factor of all changes, from `minPace` to 1. */
  readonly pace: number;
  /** Where the last change was heading: 1 to the other gateway, -1 back, 0 before the first one. */
  readonly direction: number;
  /** The part when that direction began. */
  readonly turnedPart: number;
}

/** In this time the weight of an earlier response time falls to 0.37. */
const fadingMs = 500;
/** The same for the mean that shows by comparison whether the times grow or fall. */
const slowFadingMs = 3000;
/**
 * The power of the ratio of the two means by which a time is extrapolated. The queue of a gateway is as long as
 * its load was in excess before: without the extrapolation reads move on while the queue already shrinks.
 */
const trendPower = 2;
/** The weight of a single read after a pause, so that one slow read by itself moves few others. */
const maxReadWeight = 0.5;
/** An estimate without a new read for this long is not used, in milliseconds. */
const maxEstimateAgeMs = 60_000;
/** The preferred gateway keeps one read of ten, which shows when it has recovered. */
const maxMovedPart = 0.9;
/** The reads that show how fast the other gateway is while the preferred one is as fast. */
const probePart = 0.02;
/** The same while nothing is known of the other gateway. */
const learningPart = 0.1;
/** The same while the other gateway is much slower or refuses its reads. */
const rareProbePart = 0.002;
/**
 * The preferred gateway is slower, and reads move, above this multiple of the other's time and margin. The other one
 * has a single slot at each target, so that it makes readers wait where the difference is less than callers notice.
 */
const slower = { factor: 2, marginMs: 50 } as const;
/** It is as fast, and reads come back, below these. In between nothing moves, so that noise does not. */
const asFast = { factor: 1.5, marginMs: 25 } as const;
/** The other gateway is probed rarely above these. */
const muchSlower = { factor: 2, marginMs: 10 } as const;
/** The log-odds of the moved part change by the logarithm of the ratio of the times this often a second. */
const changesPerSecond = 1;
/**
 * The pace is halved at each turn after the part has changed by more than `minSwing`, down to the lowest, and
 * doubles in `paceRecoveryMs` otherwise. So swings between two gateways that are both near their limit decay.
 */
const minPace = 0.125;
const paceRecoveryMs = 20_000;
const minSwing = 0.1;
/** The bounds of that logarithm. With the lower one reads come back within a minute from two equal gateways. */
const maxLogRatio = 1.5;
const minReturnLogRatio = 0.1;
/** A pause in the reads counts as this much at most: nothing is known of the time between, in milliseconds. */
const maxStepMs = 500;

const initialPair: Omit<SharePair, "updatedAt"> = {
  movedPart: probePart,
  pace: 1,
  direction: 0,
  turnedPart: probePart,
};

/** Adds a read's response time to the estimate of its gateway. */
export function recordResponse(
  estimate: ResponseEstimate | undefined,
  ms: number,
  now: number,
): ResponseEstimate {
  if (!isUsable(estimate, now)) return { meanMs: ms, slowMeanMs: ms, at: now };
  const pauseMs = Math.max(0, now - estimate.at);
  const fade = (mean: number, overMs: number) =>
    mean + Math.min(maxReadWeight, 1 - Math.exp(-pauseMs / overMs)) * (ms - mean);
  return {
    meanMs: fade(estimate.meanMs, fadingMs),
    slowMeanMs: fade(estimate.slowMeanMs, slowFadingMs),
    at: now,
  };
}

/**
 * The time that a read counts with; undefined when it says nothing of its gateway. One that was refused,
 * redirected or not answered counts with all the time it had: a gateway that refuses everything at once is not a
 * fast one.
 */
export function measureRead(
  outcome: ReadOutcome,
  elapsedMs: number,
  givenMs: number,
): number | undefined {
  switch (outcome.type) {
    case "complete":
      return Math.max(0, elapsedMs);
    case "silent":
    case "redirected":
      return Math.max(0, elapsedMs, givenMs);
    case "error":
      return isRefusal(outcome.code) ? Math.max(0, elapsedMs, givenMs) : undefined;
  }
}

/** The part of the reads that the preferred gateway leaves to the other one now. */
export function findMovedPart(
  pair: SharePair | undefined,
  preferred: ResponseEstimate | undefined,
  other: ResponseEstimate | undefined,
  now: number,
): number {
  if (!isUsable(other, now)) return learningPart;
  const movedPart = pair?.movedPart ?? probePart;
  if (!isUsable(preferred, now) || movedPart > probePart) return movedPart;
  return exceeds(other.meanMs, preferred.meanMs, muchSlower) ? rareProbePart : movedPart;
}

/**
 * Moves the part toward the one at which both gateways take the same time, after a read was recorded. The change
 * is in proportion to the logarithm of the ratio of the times and to the time that has passed. So it is small
 * where the two are nearly equal, and the same however many reads a node sends.
 */
export function adjustPair(
  pair: SharePair | undefined,
  preferred: ResponseEstimate | undefined,
  other: ResponseEstimate | undefined,
  now: number,
): SharePair {
  if (pair === undefined || !isUsable(preferred, now) || !isUsable(other, now))
    return { ...initialPair, updatedAt: now };
  const elapsedMs = Math.max(0, Math.min(maxStepMs, now - pair.updatedAt));
  const rate = findRate(forecast(preferred), forecast(other));
  const turned = turn(pair, Math.sign(rate), elapsedMs);
  const change = (changesPerSecond * turned.pace * rate * elapsedMs) / 1000;
  const odds = (pair.movedPart / (1 - pair.movedPart)) * Math.exp(change);
  const movedPart = Math.max(probePart, Math.min(maxMovedPart, odds / (1 + odds)));
  return { ...turned, movedPart, updatedAt: now };
}

/** Notes the direction of a change, and adapts the pace. */
function turn(pair: SharePair, direction: number, elapsedMs: number): SharePair {
  const { movedPart, turnedPart } = pair;
  const pace = Math.min(1, pair.pace * 2 ** (elapsedMs / paceRecoveryMs));
  if (direction === 0 || direction === pair.direction) return { ...pair, pace };
  const hasSwung = Math.abs(movedPart - turnedPart) > minSwing;
  const nextPace = hasSwung ? Math.max(minPace, pace / 2) : pace;
  return { ...pair, pace: nextPace, direction, turnedPart: movedPart };
}

/** Where a gateway's times are heading. */
function forecast({ meanMs, slowMeanMs }: ResponseEstimate): number {
  return meanMs * (Math.max(1, meanMs) / Math.max(1, slowMeanMs)) ** trendPower;
}

/** Above 0 reads move to the other gateway, below 0 they come back. */
function findRate(preferredMs: number, otherMs: number): number {
  const logRatio = Math.log(Math.max(1, preferredMs) / Math.max(1, otherMs));
  if (exceeds(preferredMs, otherMs, slower)) return Math.min(maxLogRatio, logRatio);
  if (exceeds(preferredMs, otherMs, asFast)) return 0;
  return -Math.max(minReturnLogRatio, Math.min(maxLogRatio, -logRatio));
}

function exceeds(
  ms: number,
  otherMs: number,
  { factor, marginMs }: { readonly factor: number; readonly marginMs: number },
): boolean {
  return ms > otherMs * factor + marginMs;
}

/** Whether an estimate is recent enough to be compared. */
export function isUsable(
  estimate: ResponseEstimate | undefined,
  now: number,
): estimate is ResponseEstimate {
  return estimate !== undefined && now - estimate.at <= maxEstimateAgeMs;
}

/** Whether the gateway or its targets refused the read; other errors are those of the statement. */
function isRefusal(code: ErrorCode): boolean {
  switch (code) {
    case "busy":
    case "lagging":
    case "readOnly":
    case "wrongTarget":
    case "tooManyConnections":
    case "timeout":
      return true;
    case "aborted":
    case "unknownStatement":
    case "unknownDatabase":
    case "tooLarge":
    case "malformed":
    case "denied":
    case "failed":
    case "inDoubt":
      return false;
  }
}
