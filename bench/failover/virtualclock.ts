import type { Clock } from "../../src/model/index.js";

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly fire: () => void;
}

/** A clock that stands still until it is advanced, and then runs everything due in order. */
export class VirtualClock implements Clock {
  private time = 0;
  private order = 0;
  private timers: Timer[] = [];

  now(): number {
    return this.time;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted === true) {
        reject(new Error("aborted"));
        return;
      }
      const drop = (): void => {
        this.timers = this.timers.filter((t) => t !== timer);
        reject(new Error("aborted"));
      };
      const fire = (): void => {
        signal?.removeEventListener("abort", drop);
        resolve();
      };
      const timer = { at: this.time + Math.max(0, ms), order: this.order++, fire };
      this.add(timer);
      signal?.addEventListener("abort", drop, { once: true });
    });
  }

  /** Lets `ms` pass, or less when `isDone` holds before; tells whether it held. */
  async advance(ms: number, isDone: () => boolean = () => false): Promise<boolean> {
    const end = this.time + ms;
    await waitSettled();
    while (!isDone()) {
      const next = this.timers[0];
      if (next === undefined || next.at > end) {
        this.time = end;
        return isDone();
      }
      this.timers.shift();
      this.time = Math.max(this.time, next.at);
      next.fire();
      await waitSettled();
    }
    return true;
  }

  private add(timer: Timer): void {
    const i = this.timers.findIndex((t) => t.at > timer.at);
    if (i < 0) this.timers.push(timer);
    else this.timers.splice(i, 0, timer);
  }
}

/** Lets every promise that can go on do so. */
function waitSettled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
