import type { Clock } from "../model/index.js";

/** Far below any step of a real clock, and above the resolution of a number for centuries. */
const minStepMs = 1e-5;

/**
 * A clock whose every reading is later than the one before. Two events in one tick of a coarse clock
 * would read the same time, and a request sent just before a commit's reply would then count as sent
 * after it.
 */
export class StrictlyIncreasingClock implements Clock {
  private last = -Infinity;

  constructor(private readonly clock: Clock) {}

  now(): number {
    this.last = Math.max(this.clock.now(), this.last + minStepMs);
    return this.last;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return this.clock.sleep(ms, signal);
  }
}
