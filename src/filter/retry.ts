import type { Clock, Outcome, Random, Request, Verdict } from "../model/index.js";
import {
  canRetryKeyedWrite,
  fullRetryBudget,
  recordFirstAttempt,
  planRetry,
  type RetryBudget,
} from "../policy/index.js";

/** How long the records of keyed writes are kept at the least, in milliseconds. */
const retentionMs = 24 * 60 * 60 * 1000;

type FailedOutcome = Extract<Outcome, { type: "failed" }>;

/** What is tried, and what decides whether it may be tried again. */
export interface RetryOperation {
  readonly request: Request;
  readonly signal: AbortSignal;
  /** Runs the given try; the first is 1. */
  readonly run: (tries: number) => Promise<Outcome>;
  /** Whether this place tries again after such a verdict; others may, elsewhere. */
  readonly canRetryHere: (verdict: Verdict) => boolean;
  /** Whether a part of the answer has gone to the caller. */
  readonly hasAnswerBegun: () => boolean;
  readonly onRetry: (outcome: FailedOutcome, delayMs: number) => void;
}

/** Whether a request may run twice: reads, and writes whose key finds the first run's record. */
export function isIdempotent({ traits, idempotency }: Request): boolean {
  if (traits.effect === "read") return true;
  return idempotency !== undefined && !traits.transaction;
}

/** Tries requests again within their rules' attempts and one budget of retries. */
export class Retrier {
  private budget: RetryBudget = fullRetryBudget;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * Runs a trial until it is answered or given up. Once a try may have run, the request may have run
   * whatever the later tries say: that one of them did not run is no news of the first.
   */
  async run(trial: RetryOperation): Promise<Outcome> {
    this.budget = recordFirstAttempt(this.budget);
    const startedAt = this.clock.now();
    let unknown: FailedOutcome | undefined;
    for (let tries = 1; ; tries += 1) {
      const outcome = await trial.run(tries);
      if (outcome.type === "answered") return outcome;
      if (outcome.verdict.type === "mayHaveRun") unknown ??= outcome;
      const delayMs = this.plan(trial, outcome.verdict, tries, startedAt);
      if (delayMs === undefined) return unknown ?? outcome;
      trial.onRetry(outcome, delayMs);
      await this.clock.sleep(delayMs, trial.signal).catch(() => undefined);
      if (trial.signal.aborted) return unknown ?? outcome;
    }
  }

  /** The delay before the next try, or nothing when there is none. */
  private plan(
    { request, canRetryHere: isOurs, hasAnswerBegun: hasBegun }: RetryOperation,
    verdict: Verdict,
    tries: number,
    startedAt: number,
  ): number | undefined {
    if (!isOurs(verdict)) return undefined;
    const now = this.clock.now();
    const sinceFirstTryMs = now - startedAt;
    const canRepeat =
      isIdempotent(request) &&
      canRetryKeyedWrite({ verdict, sinceFirstAttemptMs: sinceFirstTryMs, retentionMs });
    const failed = {
      verdict,
      effect: canRepeat ? "read" : request.traits.effect,
      isAnswerBegun: hasBegun(),
      attempts: tries,
      limit: request.action.retry,
      timeLeftMs: request.deadlineAt - now,
    } as const;
    const plan = planRetry(failed, this.budget, this.random.draw());
    if (plan.type === "giveUp") return undefined;
    this.budget = plan.budget;
    return plan.delayMs;
  }
}
