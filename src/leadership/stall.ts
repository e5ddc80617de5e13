/** Reads the monotonic clock and the wall clock of a process, in milliseconds. */
export interface ClockPair {
  readonly monotonic: () => number;
  readonly wall: () => number;
}

/** A larger change of the offset between the clocks is a stall; drift and rounding stay below a few milliseconds. */
const toleranceMs = 100;

/**
 * Detects that the process was suspended. The monotonic clock of a suspended machine may stop, so that a permit
 * measured on it would be used past its expiry. The wall clock goes on, and the offset between the two changes. A step
 * of the wall clock has the same effect and costs one extra confirmation. A stall goes undetected only if a step
 * of the wall clock cancels it to within 0.1 s.
 */
export class StallDetector {
  private offset: number;

  constructor(private readonly clocks: ClockPair) {
    this.offset = clocks.wall() - clocks.monotonic();
  }

  /** Whether the offset between the clocks has changed since the previous call. */
  detectStall(): boolean {
    const offset = this.clocks.wall() - this.clocks.monotonic();
    const hasStalled = Math.abs(offset - this.offset) > toleranceMs;
    this.offset = offset;
    return hasStalled;
  }
}
