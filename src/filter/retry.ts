import type { Clock, Outcome, Random, Request, Verdict } from "../model/index.js";
import {
  canRetryKeyedWrite,
  fullRetryBudget,
  recordFirstAttempt,
  planRetry,
  type RetryBudget,
} from "../policy/index.js";

/** The minimum time for which the records of keyed writes are kept. */
const retentionMs = 24 * 60 * 60 * 1000;

type FailedOutcome = Extract<Outcome, { type: "failed" }>;

/** A request to run, and what decides whether it may be tried again. */
export interface RetryOperation {
  readonly request: Request;
  readonly signal: AbortSignal;
  /** Runs one attempt; `attempt` counts from 1. */
  readonly run: (attempt: number) => Promise<Outcome>;
  /**
   * Whether a failure with this verdict is retried here. Others are retried by another process or
   * returned at once.
   */
  readonly canRetryHere: (verdict: Verdict) => boolean;
  /** Whether a part of the answer has been sent to the caller. */
  readonly hasAnswerBegun: () => boolean;
  readonly onRetry: (outcome: FailedOutcome, delayMs: number) => void;
}

/**
 * Whether a request may be sent twice: a read, or a write with an idempotency key outside an
 * interactive transaction, whose repeat finds the record of the first run.
 */
export function isIdempotent({ traits, idempotency }: Request): boolean {
  if (traits.effect === "read") return true;
  return idempotency !== undefined && !traits.transaction;
}

/** Retries requests within the limits of their rules and a retry budget that all of them share. */
export class Retrier {
  private budget: RetryBudget = fullRetryBudget;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * Runs a request until it is answered or given up. Once an attempt may have run, the outcome remains
   * that the request may have run: a later attempt that did not run says nothing about the earlier one.
   */
  async run(operation: RetryOperation): Promise<Outcome> {
    this.budget = recordFirstAttempt(this.budget);
    const startedAt = this.clock.now();
    let unknown: FailedOutcome | undefined;
    for (let attempt = 1; ; attempt += 1) {
      const outcome = await operation.run(attempt);
      if (outcome.type === "answered") return outcome;
      if (outcome.verdict.type === "mayHaveRun") unknown ??= outcome;
      const delayMs = this.planDelayMs(operation, outcome.verdict, attempt, startedAt);
      if (delayMs === undefined) return unknown ?? outcome;
      operation.onRetry(outcome, delayMs);
      await this.clock.sleep(delayMs, operation.signal).catch(() => undefined);
      if (operation.signal.aborted) return unknown ?? outcome;
    }
  }

  /** The delay before the next attempt; `undefined` when the request is not retried. */
  private planDelayMs(
    { request, canRetryHere, hasAnswerBegun }: RetryOperation,
    verdict: Verdict,
    attempts: number,
    startedAt: number,
  ): number | undefined {
    if (!canRetryHere(verdict)) return undefined;
    const now = this.clock.now();
    const sinceFirstAttemptMs = now - startedAt;
    const canRepeat =
      isIdempotent(request) && canRetryKeyedWrite({ verdict, sinceFirstAttemptMs, retentionMs });
    const failed = {
      verdict,
      effect: canRepeat ? "read" : request.traits.effect,
      isAnswerBegun: hasAnswerBegun(),
      attempts,
      limit: request.action.retry,
      timeLeftMs: request.deadlineAt - now,
    } as const;
    const plan = planRetry(failed, this.budget, this.random.draw());
    if (plan.type === "giveUp") return undefined;
    this.budget = plan.budget;
    return plan.delayMs;
  }
}
