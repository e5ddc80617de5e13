import type { Clock } from "../model/index.js";

/** A longer time between two looks is one in which the process stood still. */
const maxGapMs = 2000;

/**
 * Time as callers are held to it: without the time in which this process stood still. One that was
 * paused for a minute would otherwise find every caller overdue before it reads what they sent.
 */
export class SteadyClock {
  private lookedAt: number;
  private stoodMs = 0;

  constructor(private readonly clock: Pick<Clock, "now">) {
    this.lookedAt = clock.now();
  }

  now(): number {
    return this.clock.now() - this.stoodMs;
  }

  /** To be called regularly. */
  look(): void {
    const now = this.clock.now();
    const gap = now - this.lookedAt;
    if (gap > maxGapMs) this.stoodMs += gap;
    this.lookedAt = now;
  }
}
