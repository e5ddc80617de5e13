import { startStallTolerantTimer } from "./stall-tolerant-timer.js";

const halfWindowMs = 2500;
const timeoutFactor = 2;
/** A timeout is stretched to at most this many times its usual length. */
const maxStretch = 4;

/**
 * The longest recent response time of a kind of peer, from which timeouts are computed. When all processors are
 * busy, answers take longer than a fixed timeout. Each request would then be given up just before its answer
 * comes and be sent again, which keeps the processors busy for good. A peer that is gone does not
 * stretch the timeouts, since only answers count. Times are in milliseconds.
 */
export class ResponseTimes {
  /** The longest timeout that is computed from a usual one. */
  static getLongestTimeoutMs(usualMs: number): number {
    return maxStretch * usualMs;
  }

  private windowStart = -Infinity;
  private longest = 0;
  private previousLongest = 0;

  constructor(private readonly now: () => number) {}

  /**
   * Waits for an answer for as long as recent answers suggest; undefined if it does not come in time. An answer
   * that comes later is recorded as well, so that the next timeouts are long enough, and given to `onLate`.
   */
  async awaitAnswer<T>(
    answer: Promise<T>,
    usualMs: number,
    onLate: (answer: T) => void = () => undefined,
  ): Promise<T | undefined> {
    const startedAt = this.now();
    let isLate = false;
    let stopTimer: () => void = () => undefined;
    const timedOut = new Promise<undefined>((resolve) => {
      stopTimer = startStallTolerantTimer(this.computeTimeoutMs(usualMs), () => {
        isLate = true;
        resolve(undefined);
      });
    });
    const recorded = answer.then((value) => {
      this.record(this.now() - startedAt);
      if (isLate) onLate(value);
      return value;
    });
    try {
      return await Promise.race([recorded, timedOut]);
    } finally {
      stopTimer();
      // A failure that comes late has no one to report to.
      recorded.catch(() => undefined);
    }
  }

  /** Records how long a peer took to answer. */
  record(ms: number): void {
    this.turnWindow();
    this.longest = Math.max(this.longest, ms);
  }

  /** Computes the timeout of a request whose usual timeout is `usualMs`. */
  computeTimeoutMs(usualMs: number): number {
    this.turnWindow();
    const needed = timeoutFactor * Math.max(this.longest, this.previousLongest);
    return Math.min(maxStretch * usualMs, Math.max(usualMs, needed));
  }

  private turnWindow(): void {
    const elapsedMs = this.now() - this.windowStart;
    if (elapsedMs < halfWindowMs) return;
    this.previousLongest = elapsedMs < 2 * halfWindowMs ? this.longest : 0;
    this.longest = 0;
    this.windowStart = this.now();
  }
}
