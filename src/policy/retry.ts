import type { Effect, RetryLimit, Verdict } from "../model/index.js";

/** A group's budget for retries: tokens that first tries bring in and retries use up. */
export interface RetryBudget {
  readonly tokens: number;
}

/** Retries for each first try, over time. */
const tokensPerFirstAttempt = 0.1;
/** Retries that may follow each other after a quiet time. */
const maxTokens = 10;
const initialBackoffMs = 20;
const maxBackoffMs = 1000;

/** A budget that allows a few retries from the start. */
export const fullRetryBudget: RetryBudget = { tokens: maxTokens };

/** Notes a first try, which pays for a part of a retry. */
export function recordFirstAttempt(budget: RetryBudget): RetryBudget {
  return { tokens: Math.min(maxTokens, budget.tokens + tokensPerFirstAttempt) };
}

/** A try that failed. */
export interface FailedAttempt {
  readonly verdict: Verdict;
  readonly effect: Effect;
  /** Whether a byte of an answer has reached the caller. */
  readonly isAnswerBegun: boolean;
  /** Tries so far, the first one included. */
  readonly attempts: number;
  readonly limit: RetryLimit;
  readonly timeLeftMs: number;
}

/** Whether a request is tried again. */
export type RetryPlan =
  | { readonly type: "retry"; readonly delayMs: number; readonly budget: RetryBudget }
  | {
      readonly type: "giveUp";
      readonly reason:
        "mayHaveRun" | "ran" | "answerBegun" | "noAttemptsLeft" | "noTime" | "noBudget";
    };

/**
 * Plans the next try of a request. `limit.attempts` counts retries. `drawn` is a number of [0, 1).
 *
 * Retries are a share of first tries: when everything fails, the targets meet a tenth more work and
 * not several times as much, which would keep them failing after the cause has gone.
 */
export function planRetry(failed: FailedAttempt, budget: RetryBudget, random: number): RetryPlan {
  const barrier = findRetryObstacle(failed);
  if (barrier !== undefined) return { type: "giveUp", reason: barrier };
  if (failed.attempts > failed.limit.attempts) return { type: "giveUp", reason: "noAttemptsLeft" };
  const delayMs = findDelay(failed, random);
  if (delayMs >= failed.timeLeftMs) return { type: "giveUp", reason: "noTime" };
  if (budget.tokens < 1) return { type: "giveUp", reason: "noBudget" };
  return { type: "retry", delayMs, budget: { tokens: budget.tokens - 1 } };
}

/** What a retry would break: a write that may have run, or an answer of which a part is out. */
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

/** The refusal's own time to come back, or an exponential step; jittered, so that none coincide. */
function findDelay(failed: FailedAttempt, random: number): number {
  const told = failed.verdict.type === "notRun" ? failed.verdict.retryAfterMs : 0;
  const step = Math.min(maxBackoffMs, initialBackoffMs * 2 ** (failed.attempts - 1));
  return Math.ceil(told + step * (0.5 + random / 2));
}
