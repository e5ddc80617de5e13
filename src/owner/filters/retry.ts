import { Retrier, type Filter } from "../../filter/index.js";
import type { Clock, Outcome, Random, Verdict } from "../../model/index.js";
import { ownerEvents } from "../../log/events/owner.js";
import type { Logger } from "../../log/index.js";
import type { ServeContext } from "../context.js";

/** Tries again what failed behind the owner. One per group, since the budget of retries is. */
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
      isOurs: isWorthRetrying,
      hasBegun: () => answer.hasForwarded,
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

/** A group's queue waits out a change of primary; who is refused for want of one hears it at once. */
function isWorthRetrying(verdict: Verdict): boolean {
  return verdict.type !== "notRun" || verdict.reason !== "noPrimary";
}
