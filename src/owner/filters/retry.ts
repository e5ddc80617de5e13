import type { Filter } from "../../filter/index.js";
import type { Clock, Outcome, Random } from "../../model/index.js";
import {
  canRetryKeyed,
  fullRetryBudget,
  noteFirstTry,
  planRetry,
  type RetryBudget,
} from "../../policy/index.js";
import { ownerEvents } from "../../log/events/owner.js";
import type { Logger } from "../../log/index.js";
import type { ServeContext } from "../context.js";

/** How long the records of keyed writes are kept at the least, in milliseconds. */
const retentionMs = 24 * 60 * 60 * 1000;

type Failed = Extract<Outcome, { type: "failed" }>;

/** Tries again what has not run, within the rule's attempts and the group's budget of retries. */
export class RetryFilter implements Filter<ServeContext> {
  readonly name = "retry";
  private budget: RetryBudget = fullRetryBudget;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {}

  async apply(
    context: ServeContext,
    next: (context: ServeContext) => Promise<Outcome>,
  ): Promise<Outcome> {
    this.budget = noteFirstTry(this.budget);
    const startedAt = this.clock.now();
    for (let tries = 1; ; tries += 1) {
      const outcome = await next({ ...context, attempt: tries });
      if (outcome.type === "answered") return outcome;
      const delayMs = this.plan(context, outcome, tries, startedAt);
      if (delayMs === undefined) return outcome;
      const { verdict, message } = outcome;
      this.logger.write(ownerEvents.requestRetried, {
        request: context.request.id,
        verdict,
        message,
        delayMs,
      });
      await this.clock.sleep(delayMs, context.signal).catch(() => undefined);
      if (context.signal.aborted) return outcome;
      context.answer.drop();
    }
  }

  /** The delay before the next try, or nothing when there is none. */
  private plan(
    { request, answer }: ServeContext,
    { verdict }: Failed,
    tries: number,
    startedAt: number,
  ): number | undefined {
    // A group's queue waits out a change of primary; who is refused for want of one hears it at once.
    if (verdict.type === "notRun" && verdict.reason === "noPrimary") return undefined;
    const now = this.clock.now();
    const sinceFirstTryMs = now - startedAt;
    // A keyed write is idempotent, as a read is: its repeat finds the first run's record.
    const isIdempotent =
      request.idempotency !== undefined &&
      !request.traits.transaction &&
      canRetryKeyed({ verdict, sinceFirstTryMs, retentionMs });
    const failed = {
      verdict,
      effect: isIdempotent ? "read" : request.traits.effect,
      isAnswerBegun: answer.hasPassed,
      tries,
      limit: request.action.retry,
      timeLeftMs: request.deadlineAt - now,
    } as const;
    const plan = planRetry(failed, this.budget, this.random.draw());
    if (plan.type === "giveUp") return undefined;
    this.budget = plan.budget;
    return plan.delayMs;
  }
}
