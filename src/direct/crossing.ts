import { assumedCrossingMs } from "../topology/index.js";

/** A measured time counts for one to two of these periods, in milliseconds, so that a new path is noticed. */
const windowMs = 10_000;

interface Window {
  readonly startedAt: number;
  readonly shortestMs: number;
  readonly previousShortestMs: number;
}

/**
 * The shortest recent response times of targets in other regions: the round trip and the shortest statement.
 * A mean would include the time that statements run, which passes in either region.
 */
export class CrossingTimes {
  private readonly windows = new Map<string, Window>();

  constructor(private readonly now: () => number) {}

  /** Records how long a target took to answer. */
  record(target: string, ms: number): void {
    const { startedAt, shortestMs, previousShortestMs } = this.turnWindow(target);
    this.windows.set(target, {
      startedAt,
      shortestMs: Math.min(shortestMs, ms),
      previousShortestMs,
    });
  }

  /** Estimates the round trip to the nearest of some targets; those that never answered count as usual. */
  estimateMs(targets: readonly string[]): number {
    const known = targets.map((target) => {
      const { shortestMs, previousShortestMs } = this.turnWindow(target);
      return Math.min(shortestMs, previousShortestMs);
    });
    const shortest = Math.min(...known);
    return Number.isFinite(shortest) ? shortest : assumedCrossingMs;
  }

  /** Discards the times of a target that is no longer listed. */
  forget(target: string): void {
    this.windows.delete(target);
  }

  private turnWindow(target: string): Window {
    const now = this.now();
    const known = this.windows.get(target);
    if (known !== undefined && now - known.startedAt < windowMs) return known;
    const isRecent = known !== undefined && now - known.startedAt < 2 * windowMs;
    const previousShortestMs = isRecent ? known.shortestMs : Infinity;
    return { startedAt: now, shortestMs: Infinity, previousShortestMs };
  }
}
