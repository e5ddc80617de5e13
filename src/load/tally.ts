import { build, type Histogram } from "hdr-histogram-js";
import { outcomeTypes, type OutcomeType } from "./outcome.js";
import type { WorkResult } from "./work.js";

/** Times of one sort of requests, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** The figures of one kind of work of one population. */
export interface TallyReport {
  readonly population: string;
  readonly work: string;
  readonly counts: Readonly<Record<OutcomeType, number>>;
  readonly states: Readonly<Record<string, number>>;
  readonly repeats: number;
  /** Landed requests, from the time at which they were meant to start. */
  readonly latency: LatencySummary;
  /** Landed requests, from the time at which they were sent. */
  readonly service: LatencySummary;
  /** Refused requests, from the time at which they were sent. */
  readonly refusal: LatencySummary;
  /** The longest time between two requests that landed one after the other, in milliseconds. */
  readonly longestGapMs: number;
}

const microseconds = 1000;
const longestMs = 3_600_000;

/** Counts and times the requests of one kind. */
export class Tally {
  private readonly counts: Record<OutcomeType, number> = {
    landed: 0,
    notRun: 0,
    mayHaveRun: 0,
    failed: 0,
  };
  private readonly states: Record<string, number> = {};
  private repeats = 0;
  private landedAt: number | undefined;
  private longestGapMs = 0;
  private readonly latency = buildHistogram();
  private readonly service = buildHistogram();
  private readonly refusal = buildHistogram();

  constructor(
    private readonly population: string,
    private readonly work: string,
  ) {}

  /** Records one request that ended at `now`; times are in milliseconds. */
  record(result: WorkResult, now: number, latencyMs: number, serviceMs: number): void {
    this.counts[result.type] += 1;
    this.repeats += result.repeats;
    if (result.errorCode !== undefined) {
      this.states[result.errorCode] = (this.states[result.errorCode] ?? 0) + 1;
    }
    if (result.type === "landed") {
      recordMs(this.latency, latencyMs);
      recordMs(this.service, serviceMs);
      this.noteLanded(now);
    }
    if (result.type === "notRun") recordMs(this.refusal, serviceMs);
  }

  get report(): TallyReport {
    return {
      population: this.population,
      work: this.work,
      counts: { ...this.counts },
      states: { ...this.states },
      repeats: this.repeats,
      latency: summarise(this.latency),
      service: summarise(this.service),
      refusal: summarise(this.refusal),
      longestGapMs: this.longestGapMs,
    };
  }

  private noteLanded(now: number): void {
    this.longestGapMs = Math.max(this.longestGapMs, now - (this.landedAt ?? now));
    this.landedAt = now;
  }
}

/** How many requests a report covers. */
export function countRequests({ counts }: TallyReport): number {
  return outcomeTypes.reduce((sum, c) => sum + counts[c], 0);
}

function buildHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    highestTrackableValue: longestMs * microseconds,
    numberOfSignificantValueDigits: 3,
  });
}

function recordMs(histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.round(Math.min(longestMs, Math.max(0, ms)) * microseconds));
}

function summarise(histogram: Histogram): LatencySummary {
  const find = (percentile: number) => histogram.getValueAtPercentile(percentile) / microseconds;
  return {
    count: histogram.totalCount,
    p50: find(50),
    p90: find(90),
    p99: find(99),
    max: histogram.maxValue / microseconds,
  };
}
