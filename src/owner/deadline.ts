/** A signal that aborts with an outer signal or at a deadline. Must be disposed when the work is done. */
export interface Deadline {
  readonly signal: AbortSignal;
  dispose(): void;
}

/** The reason of a deadline's signal that aborted since the time was up. */
export class DeadlineError extends Error {
  override readonly name = "DeadlineError";
}

/**
 * Starts a deadline of `ms` milliseconds that also aborts with `outer`. `AbortSignal.any` would do the
 * same, but it keeps an entry on a long-lived outer signal, so that the memory of a session with many
 * requests would grow without bound.
 */
export function startDeadline(ms: number, outer: AbortSignal): Deadline {
  const controller = new AbortController();
  const forwardAbort = () => {
    controller.abort(outer.reason);
  };
  const timer = setTimeout(() => {
    controller.abort(new DeadlineError(`no answer within ${Math.round(ms)} ms`));
  }, ms);
  if (outer.aborted) forwardAbort();
  else outer.addEventListener("abort", forwardAbort, { once: true });
  return {
    signal: controller.signal,
    dispose() {
      clearTimeout(timer);
      outer.removeEventListener("abort", forwardAbort);
    },
  };
}
