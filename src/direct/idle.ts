/**
 * How long a transaction may rest while others wait for its target, in milliseconds: about as long as a
 * statement may queue, half of its time. Callers that begin, write and stay away would keep connections
 * until their limit, while others are refused for want of one.
 */
const contendedIdleMs = 400;
/** Between two looks whether somebody waits, in milliseconds. */
const checkIntervalMs = 100;

/** How long a transaction may rest between two statements, and what ends it. */
export interface IdleWatchOptions {
  /** In any case, in milliseconds. */
  readonly limitMs: number;
  /** Whether others wait for what it holds. */
  readonly hasWaiters: () => boolean;
  readonly end: (restedMs: number) => void;
}

/** Whether a transaction that has rested for `restedMs` is ended. */
export function isIdleLimitReached(idleMs: number, limitMs: number, hasWaiters: boolean): boolean {
  return idleMs >= limitMs || (hasWaiters && idleMs >= contendedIdleMs);
}

/** Watches a transaction that rests; answers with what stops the watch. */
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
