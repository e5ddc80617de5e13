import type { Clock, Disposable } from "../model/index.js";

/** How long a group's first requests wait for the first answers of its targets, in milliseconds. */
const openingWaitMs = 1000;

/**
 * How long requests wait for the successor of a lost primary, in milliseconds. After this time something
 * prevents a failover, such as a lost majority, and a longer wait would only delay the refusal.
 */
const maxOutageMs = 3000;

/** Tracks whether a group without a serving primary is likely to have one soon. */
export class PrimaryExpectation implements Disposable {
  private openedAt = -Infinity;
  private lostAt: number | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly clock: Clock,
    /** Called when an outage exceeds `maxOutageMs`, since no new view may arrive at that time. */
    private readonly onOverdue: () => void,
  ) {}

  /** Records that the group was opened, so that its targets are about to answer for the first time. */
  startOpening(): void {
    this.openedAt = this.clock.now();
  }

  /** Records whether the group has a serving primary now. */
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

  /** Whether a primary is expected soon: the group was opened or lost its primary only recently. */
  isPrimaryExpected(): boolean {
    const isOpening = this.clock.now() - this.openedAt < openingWaitMs;
    return isOpening || (this.lostAt !== undefined && this.measureOutageMs() < maxOutageMs);
  }

  /** Returns the time since the group has had no serving primary, in milliseconds; 0 while it has one. */
  measureOutageMs(): number {
    return this.lostAt === undefined ? 0 : this.clock.now() - this.lostAt;
  }

  dispose(): void {
    clearTimeout(this.timer);
  }
}
