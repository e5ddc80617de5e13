import { findMarkCoverage, type Mark, type TargetStatus } from "../model/index.js";

interface Sample {
  readonly at: number;
  readonly mark: Mark;
}

/** The least time between two samples that are kept, in milliseconds: what an age may be too great by. */
const stepMs = 20;

/** Samples kept: enough for ages up to ten seconds while the group is written to all the time. */
const maxSamples = 512;

/**
 * Marks of a group's primary and instants at which its log was no longer than that. Bounded; a
 * sample that is left out makes ages greater and never smaller.
 */
export class MarkHistory {
  private samples: Sample[] = [];

  /** Notes that at `at` nothing beyond `mark` had been committed. */
  note(at: number, mark: Mark): void {
    const last = this.samples.at(-1);
    const before = this.samples.at(-2);
    if (last !== undefined && at <= last.at) return;
    const isClose = before !== undefined && last !== undefined && last.at - before.at < stepMs;
    if (isClose || (last !== undefined && isSame(last.mark, mark))) this.samples.pop();
    this.samples.push({ at, mark });
    if (this.samples.length > maxSamples) this.samples.shift();
  }

  /** The latest instant up to which the target holds everything; `undefined` when none is known. */
  findHeldAt(status: TargetStatus): number | undefined {
    const held = this.samples.findLast(
      ({ mark }) => findMarkCoverage(status.lineage, status.mark, mark).type === "reached",
    );
    return held?.at;
  }
}

function isSame(a: Mark, b: Mark): boolean {
  return a.offset === b.offset && a.term.round === b.term.round && a.term.vm === b.term.vm;
}
