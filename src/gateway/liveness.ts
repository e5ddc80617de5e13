import { startStallTolerantTimer } from "../system/index.js";

/** How a dead connection is detected. Times are in milliseconds. */
export interface LivenessOptions {
  /** A probe is sent when nothing arrived for this long while something is awaited. */
  readonly probeAfterMs: number;
  /** The connection counts as lost when nothing arrives for this long after a probe. */
  readonly getProbeTimeoutMs: () => number;
  /** Called with the time that the answer to a probe took. */
  readonly onProbeAnswered?: (ms: number) => void;
  readonly sendProbe: () => void;
  readonly onTimeout: () => void;
}

/**
 * Detects a dead connection while something is awaited on it: its other end was lost without closing it, or a
 * device in between has dropped its state. Without this, pending calls would wait until their deadlines.
 * While nothing is awaited no probes are sent, so that idle connections cost nothing.
 */
export class LivenessMonitor {
  private stopTimer: (() => void) | undefined;
  private hasReceived = false;
  private probedAt: number | undefined;

  constructor(private readonly options: LivenessOptions) {}

  /** Records that data arrived. */
  recordData(): void {
    this.hasReceived = true;
    if (this.probedAt === undefined) return;
    this.options.onProbeAnswered?.(performance.now() - this.probedAt);
    this.probedAt = undefined;
  }

  /** Sets whether something is awaited on the connection. */
  setAwaiting(isAwaiting: boolean): void {
    if (!isAwaiting) this.stop();
    else if (this.stopTimer === undefined) this.waitForData();
  }

  stop(): void {
    this.stopTimer?.();
    this.stopTimer = undefined;
    this.probedAt = undefined;
  }

  private waitForData(): void {
    this.hasReceived = false;
    this.stopTimer = startStallTolerantTimer(this.options.probeAfterMs, () => {
      if (this.hasReceived) this.waitForData();
      else this.probe();
    });
  }

  private probe(): void {
    this.probedAt = performance.now();
    this.options.sendProbe();
    this.stopTimer = startStallTolerantTimer(this.options.getProbeTimeoutMs(), () => {
      if (this.hasReceived) this.waitForData();
      else this.options.onTimeout();
    });
  }
}
