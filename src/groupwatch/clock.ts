import type { Clock } from "../model/index.js";

/** Far below the resolution of a real clock; a `number` of milliseconds can represent it for centuries. */
const minStepMs = 1e-5;

/**
 * A clock whose readings strictly increase. With a coarse clock, two events could get the same time, and a request
 * sent just before a commit's reply would count as sent after it.
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
