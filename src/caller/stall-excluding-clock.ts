import type { Clock } from "../model/index.js";

/** A longer time between two looks is one in which the process stood still. */
const maxCheckGapMs = 2000;

/**
 * Time as callers are held to it: without the time in which this process stood still. One that was
 * paused for a minute would otherwise find every caller overdue before it reads what they sent.
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

  /** To be called regularly. */
  detectStall(): void {
    const now = this.clock.now();
    const gap = now - this.lastCheckedAt;
    if (gap > maxCheckGapMs) this.stalledMs += gap;
    this.lastCheckedAt = now;
  }
}
