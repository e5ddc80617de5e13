import type { Clock, Disposable } from "../model/index.js";

/** How long a group's first requests wait for its targets' first answers, in milliseconds. */
const openingWaitMs = 1000;

/**
 * How long a lost primary's successor is waited for, in milliseconds. Past it something stands in
 * the way of a failover, such as a lost majority, and whoever waited on would only learn so late.
 */
const maxOutageMs = 3000;

/** Whether a group that has no serving primary is likely to have one soon. */
export class PrimaryExpectation implements Disposable {
  private openedAt = -Infinity;
  private lostAt: number | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly clock: Clock,
    /** Is called when a gap has lasted too long, since no view may come to tell. */
    private readonly onOverdue: () => void,
  ) {}

  /** The group was opened: its targets are about to answer for the first time. */
  startOpening(): void {
    this.openedAt = this.clock.now();
  }

  /** Notes whether the group has a serving primary now. */
  observe(isServing: boolean): void {
    if (isServing) {
      this.lostAt = undefined;
      return;
    }
    if (this.lostAt !== undefined) return;
    this.lostAt = this.clock.now();
    clearTimeout(this.timer);
    this.timer = setTimeout(this.onOverdue, maxOutageMs).unref();
  }

  /** Whether a primary is expected soon: the group has just been opened, or lost its primary. */
  isPrimaryExpected(): boolean {
    const isOpening = this.clock.now() - this.openedAt < openingWaitMs;
    return isOpening || (this.lostAt !== undefined && this.measureOutageMs() < maxOutageMs);
  }

  /** How long the primary has not served, in milliseconds; 0 while it does. */
  measureOutageMs(): number {
    return this.lostAt === undefined ? 0 : this.clock.now() - this.lostAt;
  }

  dispose(): void {
    clearTimeout(this.timer);
  }
}
