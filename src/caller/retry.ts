import { Retrier, type Filter, type Next } from "../filter/index.js";
import { callerEvents } from "../log/events/caller.js";
import type { Logger } from "../log/index.js";
import type { Clock, Outcome, Random, Verdict } from "../model/index.js";
import { requirePart, type RequestContext } from "./context.js";

/**
 * Retries a request whose owner was lost, at the proxy that owns the group by then. The owner itself
 * retries failures of its targets. Without this filter, the loss of a proxy would fail every request
 * that it was running, including reads and writes with an idempotency key.
 */
export class OwnerRetry implements Filter<RequestContext> {
  readonly name = "retry";
  private readonly retrier: Retrier;

  constructor(
    clock: Clock,
    random: Random,
    private readonly logger: Logger,
  ) {
    this.retrier = new Retrier(clock, random);
  }

  apply(context: RequestContext, next: Next<RequestContext>): Promise<Outcome> {
    const { beginAttempt, signal } = context;
    if (beginAttempt === undefined) return next(context);
    let { attempt } = context;
    return this.retrier.run({
      request: requirePart(context.request),
      signal,
      run: (attemptCount) => {
        if (attemptCount > 1) attempt = beginAttempt();
        return next({ ...context, attempt });
      },
      canRetryHere: isOwnerLost,
      hasAnswerBegun: () => attempt.relay.hasForwarded,
      onRetry: (outcome, delayMs) => {
        this.logger.write(callerEvents.retriedElsewhere, {
          request: context.id,
          ...outcome,
          delayMs,
        });
      },
    });
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
