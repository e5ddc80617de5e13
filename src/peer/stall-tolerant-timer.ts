const steps = 4;

/**
 * Calls `handle` after `ms` in which the process ran. A process that stood still for a while (paused,
 * or starved of processor time) finds its timers due before it reads what has come meanwhile; in
 * steps, a pause counts for one of them and not for the whole. Answers with what cancels it.
 */
export function startStallTolerantTimer(ms: number, handle: () => void): () => void {
  let left = steps;
  const step = (): void => {
    left -= 1;
    if (left === 0) handle();
    else timer = setTimeout(step, ms / steps);
  };
  let timer = setTimeout(step, ms / steps);
  return () => clearTimeout(timer);
}
