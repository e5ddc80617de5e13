import { findMarkCoverage, type Mark, type TargetStatus } from "../model/index.js";

interface Sample {
  readonly at: number;
  readonly mark: Mark;
}

/** The minimum time between two stored samples; a reported age may be too great by this much. */
const minSampleIntervalMs = 20;

/** Enough samples for ages up to ten seconds under continuous writes. */
const maxSamples = 512;

/**
 * Marks of a group's primary, each with a time at which its log did not extend beyond the mark. The number of
 * samples is bounded; dropping a sample can only make a reported age greater, never smaller.
 */
export class MarkHistory {
  private samples: Sample[] = [];

  /** Records that at time `at` nothing beyond `mark` had been committed. */
  record(at: number, mark: Mark): void {
    const last = this.samples.at(-1);
    const before = this.samples.at(-2);
    if (last !== undefined && at <= last.at) return;
    const isClose =
      before !== undefined && last !== undefined && last.at - before.at < minSampleIntervalMs;
    if (isClose || (last !== undefined && isSameMark(last.mark, mark))) this.samples.pop();
    this.samples.push({ at, mark });
    if (this.samples.length > maxSamples) this.samples.shift();
  }

  /** Finds the latest known time up to which the target has all commits; `undefined` if there is none. */
  findCaughtUpAt(status: TargetStatus): number | undefined {
    const sample = this.samples.findLast(
      ({ mark }) => findMarkCoverage(status.lineage, status.mark, mark).type === "reached",
    );
    return sample?.at;
  }
}

function isSameMark(a: Mark, b: Mark): boolean {
  return a.offset === b.offset && a.term.round === b.term.round && a.term.vm === b.term.vm;
}
