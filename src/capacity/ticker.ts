import type { Disposable } from "../model/index.js";

/** Between two ticks of a queue or a pool unless it says otherwise, in milliseconds. */
const defaultTickMs = 50;

/** A timer that runs only while it is needed: thousands of idle groups must cost nothing. */
export class Ticker implements Disposable {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly tick: () => void,
    private readonly everyMs = defaultTickMs,
  ) {}

  setNeeded(isNeeded: boolean): void {
    if (isNeeded) this.timer ??= setInterval(this.tick, this.everyMs).unref();
    else this.dispose();
  }

  dispose(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }
}
