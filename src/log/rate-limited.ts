import type { LogEvent, LogFields, Logger } from "./event.js";
import { directEvents } from "./events/direct.js";

/** The limits on lines per second and on a burst: three times the usual rate of a heavy day. */
const maxLinesPerSecond = 150;
const maxBurstLines = 600;
const reportIntervalMs = 5000;

/**
 * Limits the rate of lines below `warn`. Without the limit, a flood of requests would spend the
 * processor on logging. Dropped lines are counted, and the count is logged.
 */
export class RateLimitedLogger implements Logger {
  private tokens = maxBurstLines;
  private refilledAt: number;
  private dropped = 0;
  private reportedAt: number;

  constructor(
    private readonly inner: Logger,
    private readonly now: () => number,
  ) {
    this.refilledAt = now();
    this.reportedAt = this.refilledAt;
  }

  get droppedLines(): number {
    return this.dropped;
  }

  write(event: LogEvent, fields?: LogFields): void {
    const isImportant = event.level === "warn" || event.level === "error";
    if (!isImportant && !this.takeToken()) {
      this.dropped += 1;
      this.reportDropped();
      return;
    }
    this.inner.write(event, fields);
  }

  private takeToken(): boolean {
    const now = this.now();
    const gained = ((now - this.refilledAt) / 1000) * maxLinesPerSecond;
    this.tokens = Math.min(maxBurstLines, this.tokens + gained);
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  private reportDropped(): void {
    const now = this.now();
    if (now - this.reportedAt < reportIntervalMs) return;
    this.reportedAt = now;
    this.inner.write(directEvents.linesDropped, { dropped: this.dropped });
  }
}
