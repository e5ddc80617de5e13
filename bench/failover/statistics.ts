/** Median, 99th percentile and worst of a set of times, in milliseconds. */
export interface Summary {
  readonly count: number;
  readonly medianMs: number;
  readonly p99Ms: number;
  readonly worstMs: number;
}

/** Sums up times; zeros where there are none. */
export function summarise(times: readonly number[]): Summary {
  const sorted = [...times].sort((a, b) => a - b);
  const at = (share: number): number =>
    round(sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0);
  return { count: sorted.length, medianMs: at(0.5), p99Ms: at(0.99), worstMs: at(1) };
}

function round(ms: number): number {
  return Math.round(ms * 100) / 100;
}
