import type { TeamRate } from "../model/index.js";

/** How far a team may exceed its rate, and over which time span operations are counted. */
export interface RateBounds {
  /** The length in milliseconds of the sliding window in which operations are counted. */
  readonly windowMs: number;
  /** The fraction by which a window's count may exceed what rate and burst allow. */
  readonly overage: number;
  /** Operations that a window may have on top of that. */
  readonly slack: number;
}

/** Allows no more than the rate and the burst. */
export const strictBounds: RateBounds = { windowMs: 1000, overage: 0, slack: 0 };

/** How fast a team's tokens are issued, and how long they are valid. */
export interface TokenRate {
  /** Tokens that all proxies together issue. */
  readonly perSecond: number;
  /** How long a token is valid after it was issued, in milliseconds. */
  readonly lifeMs: number;
}

/**
 * The fraction of the bound that tokens use up. The rest covers shares that add up to more than one while
 * proxies have different lists of proxies, and steady clocks that run at different speeds.
 */
const usedBoundFraction = 0.95;
/** Each operation needs a whole token: if tokens expired before one is complete, nothing would ever run. */
const minLiveTokens = 1;

/**
 * Converts a team's rate to a token rate. What runs in a window was issued in that window or at most one
 * token life before it, so it is at most `rate x (window + life)`. The life is chosen so that this stays
 * within the bound.
 */
export function toTokenRate({ perSecond, burst }: TeamRate, bounds: RateBounds): TokenRate {
  if (perSecond === 0) return { perSecond, lifeMs: 0 };
  const inWindow = perSecond * (bounds.windowMs / 1000);
  const bound = (inWindow + burst) * (1 + bounds.overage) + bounds.slack;
  const liveTokens = Math.max(minLiveTokens, bound * usedBoundFraction - inWindow);
  return { perSecond, lifeMs: (liveTokens / perSecond) * 1000 };
}
