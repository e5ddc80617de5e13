import type { Effect, RetryLimit, Verdict } from "../model/index.js";

/** A token bucket that limits retries: first attempts add tokens and each retry takes one. */
export interface RetryBudget {
  readonly tokens: number;
}

/** The share of retries in first attempts, in the long run. */
const tokensPerFirstAttempt = 0.1;
/** The number of retries that may follow each other at once. */
const maxTokens = 10;
const initialBackoffMs = 20;
const maxBackoffMs = 1000;

/** The initial budget. It is full, so that a few retries are possible from the start. */
export const fullRetryBudget: RetryBudget = { tokens: maxTokens };

/** Adds the tokens for a first attempt. */
export function recordFirstAttempt(budget: RetryBudget): RetryBudget {
  return { tokens: Math.min(maxTokens, budget.tokens + tokensPerFirstAttempt) };
}

/** A failed attempt to run a request. */
export interface FailedAttempt {
  readonly verdict: Verdict;
  readonly effect: Effect;
  /** Whether a byte of the answer has been sent to the caller. */
  readonly isAnswerBegun: boolean;
  /** The number of attempts so far, with the first. */
  readonly attempts: number;
  readonly limit: RetryLimit;
  readonly timeLeftMs: number;
}

/** Whether and when a request is tried again, or why not. */
export type RetryPlan =
  | { readonly type: "retry"; readonly delayMs: number; readonly budget: RetryBudget }
  | {
      readonly type: "giveUp";
      readonly reason:
        "mayHaveRun" | "ran" | "answerBegun" | "noAttemptsLeft" | "noTime" | "noBudget";
    };

/**
 * Plans the next attempt of a request. `limit.attempts` counts retries only. `random` is in [0, 1).
 *
 * The budget limits retries to a fraction of first attempts. When everything fails, the load of the
 * targets grows by a tenth; several times the load would keep them failing after the cause is gone.
 */
export function planRetry(failed: FailedAttempt, budget: RetryBudget, random: number): RetryPlan {
  const obstacle = findRetryObstacle(failed);
  if (obstacle !== undefined) return { type: "giveUp", reason: obstacle };
  if (failed.attempts > failed.limit.attempts) return { type: "giveUp", reason: "noAttemptsLeft" };
  const delayMs = findDelayMs(failed, random);
  if (delayMs >= failed.timeLeftMs) return { type: "giveUp", reason: "noTime" };
  if (budget.tokens < 1) return { type: "giveUp", reason: "noBudget" };
  return { type: "retry", delayMs, budget: { tokens: budget.tokens - 1 } };
}

/**
 * Why a retry would be unsafe: a write may have run, the request has run, or a part of the answer has
 * been sent.
 */
function findRetryObstacle({ verdict, effect, isAnswerBegun }: FailedAttempt) {
  if (isAnswerBegun) return "answerBegun";
  switch (verdict.type) {
    case "notRun":
      return undefined;
    case "mayHaveRun":
      return effect === "read" ? undefined : "mayHaveRun";
    case "ran":
      return "ran";
  }
}

/**
 * The refusal's retry time, if any, plus an exponential backoff. The backoff is randomised, so that
 * requests that fail together are not retried together.
 */
function findDelayMs(failed: FailedAttempt, random: number): number {
  const retryAfterMs = failed.verdict.type === "notRun" ? failed.verdict.retryAfterMs : 0;
  const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** (failed.attempts - 1));
  return Math.ceil(retryAfterMs + backoffMs * (0.5 + random / 2));
}
