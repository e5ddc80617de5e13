const stepCount = 4;

/**
 * Calls `handle` after `ms` of time in which the process ran, and returns a function that cancels it.
 * After a stall (a paused process, or one without processor time) the event loop runs due timers
 * before it reads the data that arrived meanwhile, so a plain timeout would report a live peer as
 * silent. The timeout is divided into steps, and a stall uses up one of them instead of the whole.
 */
export function startStallTolerantTimer(ms: number, handle: () => void): () => void {
  let remainingSteps = stepCount;
  const runStep = (): void => {
    remainingSteps -= 1;
    if (remainingSteps === 0) handle();
    else timer = setTimeout(runStep, ms / stepCount);
  };
  let timer = setTimeout(runStep, ms / stepCount);
  return () => clearTimeout(timer);
}
