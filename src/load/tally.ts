import { build, type Histogram } from "hdr-histogram-js";
import { outcomeTypes, type OutcomeType } from "./outcome.js";
import type { WorkResult } from "./work.js";

/** Number and time percentiles of the requests of one kind, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** The results of one kind of work of one population. */
export interface TallyReport {
  readonly population: string;
  readonly work: string;
  readonly counts: Readonly<Record<OutcomeType, number>>;
  readonly states: Readonly<Record<string, number>>;
  readonly repeats: number;
  /** Landed requests, from their scheduled start. */
  readonly latency: LatencySummary;
  /** Landed requests, from when they were sent. */
  readonly service: LatencySummary;
  /** Requests that have not run, from when they were sent. */
  readonly refusal: LatencySummary;
  /** The longest time between two consecutive landed requests, in milliseconds. */
  readonly longestGapMs: number;
}

const microsPerMs = 1000;
const maxTrackedMs = 3_600_000;

/** Collects counts and times of the requests of one kind. */
export class Tally {
  private readonly counts: Record<OutcomeType, number> = {
    landed: 0,
    notRun: 0,
    mayHaveRun: 0,
    failed: 0,
  };
  private readonly states: Record<string, number> = {};
  private repeats = 0;
  private lastLandedAt: number | undefined;
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
      this.recordSuccess(now);
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

  private recordSuccess(now: number): void {
    this.longestGapMs = Math.max(this.longestGapMs, now - (this.lastLandedAt ?? now));
    this.lastLandedAt = now;
  }
}

/** Returns the number of requests that a report covers. */
export function countRequests({ counts }: TallyReport): number {
  return outcomeTypes.reduce((sum, c) => sum + counts[c], 0);
}

function buildHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    highestTrackableValue: maxTrackedMs * microsPerMs,
    numberOfSignificantValueDigits: 3,
  });
}

function recordMs(histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.round(Math.min(maxTrackedMs, Math.max(0, ms)) * microsPerMs));
}

function summarise(histogram: Histogram): LatencySummary {
  const getPercentileMs = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / microsPerMs;
  return {
    count: histogram.totalCount,
    p50: getPercentileMs(50),
    p90: getPercentileMs(90),
    p99: getPercentileMs(99),
    max: histogram.maxValue / microsPerMs,
  };
}
