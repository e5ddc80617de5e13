import { Retrier, type Filter } from "../../filter/index.js";
import type { Clock, Outcome, Random, Verdict } from "../../model/index.js";
import { ownerEvents } from "../../log/events/owner.js";
import type { Logger } from "../../log/index.js";
import type { ServeContext } from "../context.js";

/** Retries requests that failed behind the owner. There is one per group, as the retry budget is per group. */
export class RetryFilter implements Filter<ServeContext> {
  readonly name = "retry";
  private readonly retrier: Retrier;

  constructor(
    clock: Clock,
    random: Random,
    private readonly logger: Logger,
  ) {
    this.retrier = new Retrier(clock, random);
  }

  apply(
    context: ServeContext,
    next: (context: ServeContext) => Promise<Outcome>,
  ): Promise<Outcome> {
    const { request, answer, signal } = context;
    return this.retrier.run({
      request,
      signal,
      run: (attempt) => {
        answer.discard();
        return next({ ...context, attempt });
      },
      canRetryHere: isWorthRetrying,
      hasAnswerBegun: () => answer.hasForwarded,
      onRetry: ({ verdict, message }, delayMs) => {
        this.logger.write(ownerEvents.requestRetried, {
          request: request.id,
          verdict,
          message,
          delayMs,
        });
      },
    });
  }
}

/**
 * A request that was refused since there is no primary is not retried: it has already waited in the group's
 * queue for a change of primary, and its caller is told immediately.
 */
function isWorthRetrying(verdict: Verdict): boolean {
  return verdict.type !== "notRun" || verdict.reason !== "noPrimary";
}
