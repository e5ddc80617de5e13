import { Retrier, type Filter, type Next } from "../filter/index.js";
import { callerEvents } from "../log/events/caller.js";
import type { Logger } from "../log/index.js";
import type { Clock, Outcome, Random, Verdict } from "../model/index.js";
import { demand, type RequestContext } from "./context.js";

/**
 * Tries a request again whose owner was lost on the way, at whoever owns the group then. The owner
 * itself tries again what failed behind it; without this, the loss of a proxy would show as an error
 * of each request that it had under way, reads and keyed writes among them.
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
      request: demand(context.request),
      signal,
      run: (tries) => {
        if (tries > 1) attempt = beginAttempt();
        return next({ ...context, attempt });
      },
      isOurs: isOwnerLost,
      hasBegun: () => attempt.relay.hasBegun,
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
