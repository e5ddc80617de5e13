import type { Team } from "../model/index.js";

/**
 * Permission to run one operation. The operation is counted when it is about to be sent to a target, not
 * earlier: one that waits for a slot may still be refused, and if it were counted on arrival it would run in
 * a later window than the one it was counted in.
 */
export interface RateClaim {
  /** Call right before a statement is sent. When false, the claim has expired and nothing may be sent. */
  consume(): boolean;
  /** The statement that was sent has certainly not run: it does not count, and may be sent again. */
  noteNotRun(): void;
  /** Returns what was not consumed. */
  release(): void;
}

/** The result of asking whether a team may start one more operation. */
export type RateReservation =
  | { readonly type: "granted"; readonly claim: RateClaim }
  | { readonly type: "refused"; readonly reason: string; readonly retryAfterMs: number };

/** Decides whether a team may start one more operation. */
export interface RateLimiter {
  /**
   * Never rejects. `deadlineAt` is on the process's clock, in milliseconds; `signal` aborts when the caller
   * has disconnected.
   */
  reserve(
    team: Team | undefined,
    deadlineAt: number,
    signal: AbortSignal,
  ): RateReservation | Promise<RateReservation>;
}

const unlimitedClaim: RateClaim = {
  consume: () => true,
  noteNotRun: () => undefined,
  release: () => undefined,
};

/** For a team without a rate. */
export const unlimitedReservation: RateReservation = { type: "granted", claim: unlimitedClaim };

/** Lets every team start any number of operations. */
export const unlimitedRateLimiter: RateLimiter = { reserve: () => unlimitedReservation };
