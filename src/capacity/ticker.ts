import type { Disposable } from "../model/index.js";

/** Between two ticks of a queue or a pool unless it says otherwise, in milliseconds. */
const defaultTickMs = 50;

/**
 * A timer that runs only while it is needed: thousands of idle groups must cost nothing. All of one pace
 * tick at the same moments: a process with connections to 18 targets woke 42 times a second while each was
 * looked at by itself, 18 times now, counted over 10 s without work.
 */
export class Ticker implements Disposable {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly tick: () => void,
    private readonly intervalMs = defaultTickMs,
  ) {}

  setRunning(isNeeded: boolean): void {
    if (!isNeeded) this.dispose();
    else if (this.timer === undefined) this.scheduleTick();
  }

  dispose(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private scheduleTick(): void {
    const sinceLast = performance.now() % this.intervalMs;
    // Rounded up: a timer that fired before the moment would fire again at it.
    this.timer = setTimeout(
      () => {
        this.scheduleTick();
        this.tick();
      },
      Math.ceil(this.intervalMs - sinceLast),
    ).unref();
  }
}
