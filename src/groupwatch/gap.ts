import type { FailoverNote } from "../controller/failover/index.js";
import { compareTerms, type Term } from "../model/index.js";
import type { FailoverPhases } from "./ports.js";

interface FailoverProgress {
  readonly failedAt: number;
  readonly fencingAt: number;
  readonly promotingAt?: number;
  readonly led?: { readonly at: number; readonly term: Term };
}

/** Measures the failovers that this VM carries out, from the controller's notes. */
export class GapMeter {
  private progress: FailoverProgress | undefined;

  constructor(private readonly report: (gapMs: number, split: FailoverPhases) => void) {}

  /** Records a note that the controller issued at `at`. `answeredAt` is when the primary last answered. */
  recordNote(note: FailoverNote, at: number, answeredAt: number | undefined): void {
    switch (note.type) {
      case "fencing":
        this.progress = {
          failedAt: this.progress?.failedAt ?? answeredAt ?? at,
          fencingAt: this.progress?.fencingAt ?? at,
        };
        break;
      case "promoting":
        if (this.progress !== undefined) this.progress = { ...this.progress, promotingAt: at };
        break;
      case "led":
        this.recordNewPrimary(note.term, at);
        break;
      case "suspected":
      case "cleared":
      case "cutOff":
      case "backedOff":
        break;
    }
  }

  /** Records that a write of a term was acknowledged; the first one of the new term completes the measurement. */
  recordWrite(term: Term, at: number): void {
    const { progress: course } = this;
    if (course?.led === undefined || course.promotingAt === undefined) return;
    if (compareTerms(term, course.led.term) !== 0) return;
    this.progress = undefined;
    this.report(at - course.failedAt, {
      detectingMs: course.fencingAt - course.failedAt,
      fencingMs: course.promotingAt - course.fencingAt,
      promotingMs: course.led.at - course.promotingAt,
      firstWriteMs: at - course.led.at,
    });
  }

  /** Records a new primary. One promoted by another VM ends the measurement: that VM reports the gap. */
  private recordNewPrimary(term: Term, at: number): void {
    if (this.progress?.promotingAt === undefined) this.progress = undefined;
    else this.progress = { ...this.progress, led: { at, term } };
  }
}
