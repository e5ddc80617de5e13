import { isIdempotent, type Filter } from "../../filter/index.js";
import type { Disposable, Term } from "../../model/index.js";
import { getPlacedConnection, type ServeContext } from "../context.js";

/** What an attempt asks of its group. */
export interface AttemptGroup {
  /** Calls `listener` when the group's primary is no longer that of `term`. */
  watchTerm(term: Term, listener: () => void): Disposable;
}

/** The shortest time that a first attempt is given, in milliseconds. */
const minAttemptMs = 1000;

/** The share of the time left that a first attempt may take while another may follow. */
const firstAttemptShare = 1 / 3;

/**
 * Gives an attempt up when waiting on can bring nothing.
 *
 * A write on a primary that was superseded can't be acknowledged any more; on the far side of a
 * partition it would wait in silence until its deadline. And a connection that something between the
 * two ends has forgotten stays silent for good, while a new one works: a request that may run twice
 * tries another connection after a third of its time. Its last attempt has all the time that is left,
 * so a statement that is merely slow still ends.
 */
export function createAttemptFilter(group: AttemptGroup): Filter<ServeContext> {
  return {
    name: "attempt",
    async apply(context, next) {
      const controller = new AbortController();
      const give = (reason: string) => {
        controller.abort(new Error(reason));
      };
      const follow = () => {
        give("the request was given up");
      };
      context.signal.addEventListener("abort", follow, { once: true });
      if (context.signal.aborted) follow();
      const timer = startAttemptTimer(context, () => {
        give("no answer; the connection may be silent");
      });
      const watching = watchPrimary(group, context, () => {
        give("the primary was superseded");
      });
      try {
        return await next({ ...context, signal: controller.signal });
      } finally {
        clearTimeout(timer);
        void watching?.dispose();
        context.signal.removeEventListener("abort", follow);
      }
    },
  };
}

function startAttemptTimer(context: ServeContext, give: () => void): NodeJS.Timeout | undefined {
  const { request, attempt, timeLeftMs } = context;
  const isLimited = attempt === 1 && request.action.retry.attempts > 0 && isIdempotent(request);
  if (!isLimited) return undefined;
  return setTimeout(give, Math.max(minAttemptMs, timeLeftMs() * firstAttemptShare));
}

function watchPrimary(
  group: AttemptGroup,
  context: ServeContext,
  give: () => void,
): Disposable | undefined {
  const { term } = getPlacedConnection(context);
  if (term === undefined || context.request.traits.effect === "read") return undefined;
  return group.watchTerm(term, give);
}
