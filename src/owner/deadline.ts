/** A signal that aborts with its caller's, or when time is up. Dispose it when the work is done. */
export interface Deadline {
  readonly signal: AbortSignal;
  dispose(): void;
}

/** Why a deadline's signal aborted. */
export class DeadlineError extends Error {
  override readonly name = "DeadlineError";
}

/**
 * Starts a deadline of `ms` within `outer`. `AbortSignal.any` would do the same, but keeps its
 * entry on a long-lived outer signal: a session of many requests would grow without end.
 */
export function startDeadline(ms: number, outer: AbortSignal): Deadline {
  const controller = new AbortController();
  const follow = () => {
    controller.abort(outer.reason);
  };
  const timer = setTimeout(() => {
    controller.abort(new DeadlineError(`no answer within ${Math.round(ms)} ms`));
  }, ms);
  if (outer.aborted) follow();
  else outer.addEventListener("abort", follow, { once: true });
  return {
    signal: controller.signal,
    dispose() {
      clearTimeout(timer);
      outer.removeEventListener("abort", follow);
    },
  };
}
