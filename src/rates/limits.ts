import type { TeamRate } from "../model/index.js";

/** How strictly a team's rate is judged. */
export interface RateBounds {
  /** The span over which operations are counted; any span of this length, in milliseconds. */
  readonly windowMs: number;
  /** The share by which a window's count may exceed the rate and the burst. */
  readonly overage: number;
  /** Operations that a window may have beyond that. */
  readonly slack: number;
}

/** No more than the rate and the burst. */
export const strictBounds: RateBounds = { windowMs: 1000, overage: 0, slack: 0 };

/** How a team's tokens are made. */
export interface TokenRate {
  /** Of all proxies together. */
  readonly perSecond: number;
  /** How long a token may be used after it was made, in milliseconds. */
  readonly lifeMs: number;
}

/**
 * The part of the bound that tokens make use of. The rest is for shares that add up to more than one while
 * proxies don't list the same ones, and for steady clocks that differ.
 */
const usedShare = 0.95;
/** Each operation needs a whole token: with a shorter life than it takes to make one nothing would run. */
const leastTokens = 1;

/**
 * Turns a rate into tokens. What runs in a window was made in it or in one life before, at most
 * `rate x (window + life)`; the life is what the bound leaves beyond the window.
 */
export function toTokenRate({ perSecond, burst }: TeamRate, bounds: RateBounds): TokenRate {
  if (perSecond === 0) return { perSecond, lifeMs: 0 };
  const inWindow = perSecond * (bounds.windowMs / 1000);
  const bound = (inWindow + burst) * (1 + bounds.overage) + bounds.slack;
  const alive = Math.max(leastTokens, bound * usedShare - inWindow);
  return { perSecond, lifeMs: (alive / perSecond) * 1000 };
}
