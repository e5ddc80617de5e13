/**
 * The idle limit of a transaction while others wait for its target, in milliseconds. It is about the time
 * that a statement may queue, half of its deadline. Without it callers that begin, write and then stay idle
 * keep connections until the normal limit, while others are refused for lack of one.
 */
const contendedIdleMs = 400;
/** The interval between checks for waiting statements, in milliseconds. */
const checkIntervalMs = 100;

/** The idle limit of a transaction between two statements, and the action when it is reached. */
export interface IdleWatchOptions {
  /** The limit when nobody waits, in milliseconds. */
  readonly limitMs: number;
  /** Whether other statements wait for the transaction's target. */
  readonly hasWaiters: () => boolean;
  readonly end: (idleMs: number) => void;
}

/** Whether a transaction that has been idle for `idleMs` must be ended. */
export function isIdleLimitReached(idleMs: number, limitMs: number, hasWaiters: boolean): boolean {
  return idleMs >= limitMs || (hasWaiters && idleMs >= contendedIdleMs);
}

/** Watches an idle transaction and calls `end` at its limit. Returns a function that stops the watch. */
export function watchTransactionIdle({
  limitMs,
  hasWaiters: isWanted,
  end,
}: IdleWatchOptions): () => void {
  let idleMs = 0;
  const check = () => {
    if (isIdleLimitReached(idleMs, limitMs, isWanted())) end(idleMs);
    else scheduleCheck(Math.min(checkIntervalMs, limitMs - idleMs));
  };
  const scheduleCheck = (ms: number) => {
    timer = setTimeout(() => {
      idleMs += ms;
      check();
    }, ms).unref();
  };
  let timer: NodeJS.Timeout | undefined;
  scheduleCheck(Math.min(contendedIdleMs, limitMs));
  return () => clearTimeout(timer);
}
