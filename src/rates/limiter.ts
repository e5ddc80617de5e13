import type { Team } from "../model/index.js";

/**
 * What one operation may run on. It is counted when it is about to reach a target, not before: what waits
 * for a slot may be refused yet, and one counted ahead would run in a later window than it was counted in.
 */
export interface RateClaim {
  /** Right before a statement is sent; false where the claim has lapsed, and nothing may be sent. */
  consume(): boolean;
  /** What was sent has certainly not run: it does not count, and may be sent again. */
  noteNotRun(): void;
  /** Gives up what was not used. */
  release(): void;
}

/** What came of asking whether a team may begin one more operation. */
export type RateReservation =
  | { readonly type: "granted"; readonly claim: RateClaim }
  | { readonly type: "refused"; readonly reason: string; readonly retryAfterMs: number };

/** Decides whether a team may begin one more operation. */
export interface RateLimiter {
  /** Never rejects. `deadlineAt` is on the process's clock, in milliseconds. */
  reserve(
    team: Team | undefined,
    deadlineAt: number,
    signal: AbortSignal,
  ): RateReservation | Promise<RateReservation>;
}

const unboundClaim: RateClaim = {
  consume: () => true,
  noteNotRun: () => undefined,
  release: () => undefined,
};

/** For a team without a rate. */
export const unlimitedReservation: RateReservation = { type: "granted", claim: unboundClaim };

/** Bounds nobody. */
export const unlimitedRateLimiter: RateLimiter = { reserve: () => unlimitedReservation };
