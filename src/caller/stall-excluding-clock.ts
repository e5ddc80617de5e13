import type { Clock } from "../model/index.js";

/** A longer gap between two checks means that the process was stalled. */
const maxCheckGapMs = 2000;

/**
 * A clock for callers' time limits, which leaves out the time in which this process was stalled.
 * Otherwise a process that was paused for a minute would find every caller over its limits before
 * it reads what they have sent.
 */
export class StallExcludingClock {
  private lastCheckedAt: number;
  private stalledMs = 0;

  constructor(private readonly clock: Pick<Clock, "now">) {
    this.lastCheckedAt = clock.now();
  }

  now(): number {
    return this.clock.now() - this.stalledMs;
  }

  /** Leaves out the time since the last call if it is too long. Must be called regularly. */
  detectStall(): void {
    const now = this.clock.now();
    const gap = now - this.lastCheckedAt;
    if (gap > maxCheckGapMs) this.stalledMs += gap;
    this.lastCheckedAt = now;
  }
}
