import { isIdempotent, type Filter } from "../../filter/index.js";
import type { Disposable, Term } from "../../model/index.js";
import { getPlacedConnection, type ServeContext } from "../context.js";

/** The part of a group that the attempt filter uses. */
export interface AttemptGroup {
  /** Calls `listener` when the group's primary is no longer that of `term`. */
  watchTerm(term: Term, listener: () => void): Disposable;
}

/** The shortest time limit of a first attempt, in milliseconds. */
const minAttemptMs = 1000;

/** The share of the remaining time that a first attempt may take if another one may follow. */
const firstAttemptShare = 1 / 3;

/**
 * Aborts an attempt that can no longer succeed.
 *
 * A write on a superseded primary can no longer be acknowledged; on the other side of a partition it
 * would wait without an answer until its deadline. A connection whose state was lost in the network
 * between the two ends never answers, while a new one works: a request that may run twice therefore
 * tries another connection after a third of its time. Its last attempt has all the remaining time, so
 * that a statement that is merely slow still completes.
 */
export function createAttemptFilter(group: AttemptGroup): Filter<ServeContext> {
  return {
    name: "attempt",
    async apply(context, next) {
      const controller = new AbortController();
      const abort = (reason: string) => {
        controller.abort(new Error(reason));
      };
      const forwardAbort = () => {
        abort("the request was cancelled or its deadline has passed");
      };
      context.signal.addEventListener("abort", forwardAbort, { once: true });
      if (context.signal.aborted) forwardAbort();
      const timer = startAttemptTimer(context, () => {
        abort("no answer in time; the connection may be lost");
      });
      const subscription = watchPrimary(group, context, () => {
        abort("the primary was superseded");
      });
      try {
        return await next({ ...context, signal: controller.signal });
      } finally {
        clearTimeout(timer);
        void subscription?.dispose();
        context.signal.removeEventListener("abort", forwardAbort);
      }
    },
  };
}

function startAttemptTimer(context: ServeContext, abort: () => void): NodeJS.Timeout | undefined {
  const { request, attempt, timeLeftMs } = context;
  const isLimited = attempt === 1 && request.action.retry.attempts > 0 && isIdempotent(request);
  if (!isLimited) return undefined;
  return setTimeout(abort, Math.max(minAttemptMs, timeLeftMs() * firstAttemptShare));
}

function watchPrimary(
  group: AttemptGroup,
  context: ServeContext,
  abort: () => void,
): Disposable | undefined {
  const { term } = getPlacedConnection(context);
  if (term === undefined || context.request.traits.effect === "read") return undefined;
  return group.watchTerm(term, abort);
}
