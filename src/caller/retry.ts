import type { Filter, Next } from "../filter/index.js";
import { callerEvents } from "../log/events/caller.js";
import type { Logger } from "../log/index.js";
import type { Clock, Outcome, Random, Verdict } from "../model/index.js";
import {
  canRetryKeyed,
  fullRetryBudget,
  noteFirstTry,
  planRetry,
  type RetryBudget,
} from "../policy/index.js";
import { demand, type RequestContext } from "./context.js";

/** How long the records of keyed writes are kept at the least, in milliseconds. */
const retentionMs = 24 * 60 * 60 * 1000;

type Failed = Extract<Outcome, { type: "failed" }>;

/**
 * Tries a request again whose owner was lost on the way, at whoever owns the group then. The owner
 * itself tries again what failed behind it; without this, the loss of a proxy would show as an error
 * of each request that it had under way, reads and keyed writes among them.
 */
export class OwnerRetry implements Filter<RequestContext> {
  readonly name = "retry";
  private budget: RetryBudget = fullRetryBudget;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {}

  async apply(context: RequestContext, next: Next<RequestContext>): Promise<Outcome> {
    const { beginAttempt, signal } = context;
    if (beginAttempt === undefined) return next(context);
    this.budget = noteFirstTry(this.budget);
    const startedAt = this.clock.now();
    let mayHaveRun: Failed | undefined;
    for (let tries = 1, { attempt } = context; ; tries += 1) {
      const outcome = await next({ ...context, attempt });
      if (outcome.type === "answered") return outcome;
      if (outcome.verdict.type === "mayHaveRun") mayHaveRun ??= outcome;
      const delayMs = this.plan({ ...context, attempt }, outcome.verdict, tries, startedAt);
      // That a later try did not run says nothing of an earlier one.
      if (delayMs === undefined) return mayHaveRun ?? outcome;
      this.logger.write(callerEvents.retried, { request: context.id, ...outcome, delayMs });
      await this.clock.sleep(delayMs, signal).catch(() => undefined);
      if (signal.aborted) return mayHaveRun ?? outcome;
      attempt = beginAttempt();
    }
  }

  private plan(
    { attempt, ...context }: RequestContext,
    verdict: Verdict,
    tries: number,
    startedAt: number,
  ): number | undefined {
    if (!isOwnerLost(verdict)) return undefined;
    const { traits, idempotency, action, deadlineAt } = demand(context.request);
    const now = this.clock.now();
    const sinceFirstTryMs = now - startedAt;
    // A keyed write's repeat finds the record of the first run.
    const isKeyed = idempotency !== undefined && !traits.transaction;
    const canRepeat = isKeyed && canRetryKeyed({ verdict, sinceFirstTryMs, retentionMs });
    const failed = {
      verdict,
      effect: canRepeat ? "read" : traits.effect,
      isAnswerBegun: attempt.relay.hasBegun,
      tries,
      limit: action.retry,
      timeLeftMs: deadlineAt - now,
    } as const;
    const plan = planRetry(failed, this.budget, this.random.draw());
    if (plan.type === "giveUp") return undefined;
    this.budget = plan.budget;
    return plan.delayMs;
  }
}

function isOwnerLost(verdict: Verdict): boolean {
  switch (verdict.type) {
    case "notRun":
      return verdict.reason === "noOwner" || verdict.reason === "draining";
    case "mayHaveRun":
      return true;
    case "ran":
      return false;
  }
}
