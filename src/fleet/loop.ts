import type { Clock, Random } from "../model/index.js";

/** Runs `step` again and again with a sleep between, until the signal is aborted. */
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

/** Sleeps; false when the signal was aborted before or meanwhile. */
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

/** Spreads a pause over half to one and a half of `ms`, so that many processes don't act at once. */
export function addJitter(random: Random, ms: number): number {
  return ms * (0.5 + random.draw());
}
