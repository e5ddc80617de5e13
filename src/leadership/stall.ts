/** Reads the two clocks of a process, in milliseconds. */
export interface ClockPair {
  readonly monotonic: () => number;
  readonly wall: () => number;
}

/** Beyond this the clocks disagree: drift and rounding stay below a few milliseconds. */
const toleranceMs = 100;

/**
 * Tells that the process stood still for a time that its steady clock does not show. A suspended
 * machine's steady clock stops, so that a permission measured on it would outlive its time. The time
 * of day goes on meanwhile, and the two disagree afterwards. A step of the time of day looks the
 * same and costs one confirmation; the two hide each other only if they are equally long to 0.1 s.
 */
export class StallDetector {
  private offset: number;

  constructor(private readonly clocks: ClockPair) {
    this.offset = clocks.wall() - clocks.monotonic();
  }

  /** Whether the clocks have parted since the last question. */
  detectStall(): boolean {
    const offset = this.clocks.wall() - this.clocks.monotonic();
    const hasParted = Math.abs(offset - this.offset) > toleranceMs;
    this.offset = offset;
    return hasParted;
  }
}
