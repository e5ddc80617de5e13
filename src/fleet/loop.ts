import type { Clock, Random } from "../model/index.js";

/** Calls `step` repeatedly until the signal is aborted; `step` returns the pause after it in ms. */
export async function runLoop(
  clock: Clock,
  signal: AbortSignal,
  step: () => Promise<number>,
): Promise<void> {
  while (!signal.aborted) {
    const pauseMs = await step();
    if (!(await sleepUnlessAborted(clock, pauseMs, signal))) return;
  }
}

/** Sleeps for `ms`. Returns false at once if the signal is, or becomes, aborted. */
export async function sleepUnlessAborted(
  clock: Clock,
  ms: number,
  signal: AbortSignal,
): Promise<boolean> {
  if (signal.aborted) return false;
  try {
    await clock.sleep(ms, signal);
    return true;
  } catch {
    return false;
  }
}

/** Returns a random pause from 0.5 to 1.5 times `ms`, so that processes don't act in lockstep. */
export function addJitter(random: Random, ms: number): number {
  return ms * (0.5 + random.draw());
}
