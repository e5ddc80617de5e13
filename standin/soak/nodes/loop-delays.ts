import { monitorEventLoopDelay, type IntervalHistogram } from "node:perf_hooks";

/** How late the timers of a process ran, in milliseconds. */
export interface LoopDelays {
  readonly medianMs: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

const resolutionMs = 5;
const nsPerMs = 1_000_000;

/**
 * Measures how late this process gets to run. A run in which its callers or targets are late says little of the nodes,
 * whose answers they count and delay.
 */
export class LoopDelayMonitor {
  private readonly histogram: IntervalHistogram;

  constructor() {
    this.histogram = monitorEventLoopDelay({ resolution: resolutionMs });
    this.histogram.enable();
  }

  measure(): LoopDelays {
    const toMs = (ns: number) => Math.max(0, Math.round(ns / nsPerMs - resolutionMs));
    return {
      medianMs: toMs(this.histogram.percentile(50)),
      p99Ms: toMs(this.histogram.percentile(99)),
      maxMs: toMs(this.histogram.max),
    };
  }
}
