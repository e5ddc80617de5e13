import type { LogEvent, LogFields, Logger } from "./event.js";
import { directEvents } from "./events/direct.js";

/** Lines a second, and how many may come at once: three times a heavy day's usual rate. */
const linesPerSecond = 150;
const burstLines = 600;
const reportMs = 5000;

/**
 * Bounds the lines of levels below `warn`. A flood of requests would else spend the processor on
 * telling of itself; what is dropped is counted, and the count is a line of its own.
 */
export class BoundedLogger implements Logger {
  private tokens = burstLines;
  private filledAt: number;
  private dropped = 0;
  private reportedAt: number;

  constructor(
    private readonly inner: Logger,
    private readonly now: () => number,
  ) {
    this.filledAt = now();
    this.reportedAt = this.filledAt;
  }

  get droppedLines(): number {
    return this.dropped;
  }

  write(event: LogEvent, fields?: LogFields): void {
    const isImportant = event.level === "warn" || event.level === "error";
    if (!isImportant && !this.takeToken()) {
      this.dropped += 1;
      this.report();
      return;
    }
    this.inner.write(event, fields);
  }

  private takeToken(): boolean {
    const now = this.now();
    const gained = ((now - this.filledAt) / 1000) * linesPerSecond;
    this.tokens = Math.min(burstLines, this.tokens + gained);
    this.filledAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  private report(): void {
    const now = this.now();
    if (now - this.reportedAt < reportMs) return;
    this.reportedAt = now;
    this.inner.write(directEvents.linesDropped, { dropped: this.dropped });
  }
}
