import { compareMarks, type Mark, type TargetStatus } from "../model/index.js";

interface Sample {
  readonly at: number;
  readonly mark: Mark;
}

/** How many samples are kept; beyond that every other one is dropped, the newest excepted. */
const maxSamples = 512;

/**
 * Marks of a group's primary and instants at which its log was no longer than that. Bounded: the
 * older half thins out, which makes ages that are told from it greater and never smaller.
 */
export class MarkHistory {
  private samples: Sample[] = [];

  /** Notes that at `at` nothing beyond `mark` had been committed. */
  note(at: number, mark: Mark): void {
    const last = this.samples.at(-1);
    if (last !== undefined && at <= last.at) return;
    if (last !== undefined && isSame(last.mark, mark)) this.samples.pop();
    this.samples.push({ at, mark });
    if (this.samples.length > maxSamples) this.thin();
  }

  /** The latest instant up to which the target holds everything; `undefined` when none is known. */
  findHeldAt(status: TargetStatus): number | undefined {
    const held = this.samples.findLast(
      ({ mark }) => compareMarks(status.lineage, status.mark, mark).type === "reached",
    );
    return held?.at;
  }

  private thin(): void {
    const half = maxSamples / 2;
    this.samples = this.samples.filter((_, i) => i >= half || i % 2 === 0);
  }
}

function isSame(a: Mark, b: Mark): boolean {
  return a.offset === b.offset && a.term.round === b.term.round && a.term.vm === b.term.vm;
}
