import { startTimer } from "../peer/patience.js";

/** How silence on a connection is noticed. Times in milliseconds. */
export interface LivenessOptions {
  /** Nothing heard for so long, while something is awaited: the other side is asked for a sign of life. */
  readonly probeAfterMs: number;
  /** Without one for so long after the question the connection counts as lost. */
  readonly probeTimeoutMs: number;
  readonly sendProbe: () => void;
  readonly onTimeout: () => void;
}

/**
 * Notices that a connection on which something is awaited has gone silent: its other end was lost
 * without a word, or something between the two has forgotten it. What waits would do so to its deadline.
 * While nothing is awaited nothing is sent, so that idle connections cost nothing.
 */
export class LivenessMonitor {
  private stopTimer: (() => void) | undefined;
  private hasHeard = false;

  constructor(private readonly options: LivenessOptions) {}

  /** Something came. */
  recordData(): void {
    this.hasHeard = true;
  }

  /** Whether something is awaited now. */
  setAwaiting(isNeeded: boolean): void {
    if (!isNeeded) this.stop();
    else if (this.stopTimer === undefined) this.waitForData();
  }

  stop(): void {
    this.stopTimer?.();
    this.stopTimer = undefined;
  }

  private waitForData(): void {
    this.hasHeard = false;
    this.stopTimer = startTimer(this.options.probeAfterMs, () => {
      if (this.hasHeard) this.waitForData();
      else this.probe();
    });
  }

  private probe(): void {
    this.options.sendProbe();
    this.stopTimer = startTimer(this.options.probeTimeoutMs, () => {
      if (this.hasHeard) this.waitForData();
      else this.options.onTimeout();
    });
  }
}
