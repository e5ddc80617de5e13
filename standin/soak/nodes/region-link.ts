import type { Disposable } from "../../../src/model/index.js";

interface Delivery {
  readonly bytes: number;
  readonly deliver: () => void;
  dueMs: number;
}

const bitsPerByte = 8;
const bitsPerMsPerMbit = 1000;

/**
 * One direction between two regions. All messages share its bandwidth and arrive in the order in which they were sent,
 * after a fixed delay. While it is cut nothing arrives; what was sent before or meanwhile arrives afterwards.
 */
export class RegionLink implements Disposable {
  private readonly queue: Delivery[] = [];
  private timer: NodeJS.Timeout | undefined;
  private freeAtMs = 0;
  private cuts = 0;
  /** The number of bytes sent so far. */
  sentBytes = 0;

  constructor(
    private readonly delayMs: number,
    private readonly mbitPerSecond: number,
    private readonly getNowMs: () => number = () => performance.now(),
  ) {}

  get isCut(): boolean {
    return this.cuts > 0;
  }

  send(bytes: number, deliver: () => void): void {
    this.sentBytes += bytes;
    this.queue.push({ bytes, deliver, dueMs: this.computeDueMs(bytes) });
    this.schedule();
  }

  /** Starts a cut. Cuts may overlap; the link is silent until each has been ended by `heal`. */
  cut(): void {
    this.cuts += 1;
  }

  heal(): void {
    this.cuts -= 1;
    if (this.isCut) return;
    this.freeAtMs = 0;
    for (const delivery of this.queue) delivery.dueMs = this.computeDueMs(delivery.bytes);
    this.schedule();
  }

  /** Delivers all that is due, unless the link is cut. */
  deliverDue(): void {
    const nowMs = this.getNowMs();
    while (!this.isCut && (this.queue[0]?.dueMs ?? Infinity) <= nowMs) {
      this.queue.shift()?.deliver();
    }
  }

  dispose(): void {
    clearTimeout(this.timer);
    this.queue.length = 0;
  }

  private computeDueMs(bytes: number): number {
    const sendMs = (bytes * bitsPerByte) / (this.mbitPerSecond * bitsPerMsPerMbit);
    this.freeAtMs = Math.max(this.freeAtMs, this.getNowMs()) + sendMs;
    return this.freeAtMs + this.delayMs;
  }

  private schedule(): void {
    const [next] = this.queue;
    if (next === undefined || this.isCut || this.timer !== undefined) return;
    const waitMs = Math.max(0, next.dueMs - this.getNowMs());
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.deliverDue();
      this.schedule();
    }, waitMs);
    this.timer.unref();
  }
}
