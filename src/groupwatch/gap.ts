import type { FailoverNote } from "../controller/failover/index.js";
import { compareTerms, type Term } from "../model/index.js";
import type { GapSplit } from "./ports.js";

interface Course {
  readonly failedAt: number;
  readonly fencingAt: number;
  readonly promotingAt?: number;
  readonly led?: { readonly at: number; readonly term: Term };
}

/** Measures a change of primary that this VM orders, from the notes of the controller. */
export class GapMeter {
  private course: Course | undefined;

  constructor(private readonly report: (gapMs: number, split: GapSplit) => void) {}

  /** `heardAt` is when the primary last answered. */
  note(note: FailoverNote, at: number, heardAt: number | undefined): void {
    switch (note.type) {
      case "fencing":
        this.course = {
          failedAt: this.course?.failedAt ?? heardAt ?? at,
          fencingAt: this.course?.fencingAt ?? at,
        };
        break;
      case "promoting":
        if (this.course !== undefined) this.course = { ...this.course, promotingAt: at };
        break;
      case "led":
        this.noteLed(note.term, at);
        break;
      case "suspected":
      case "cleared":
      case "cutOff":
      case "backedOff":
        break;
    }
  }

  /** A write of a term was acknowledged. */
  noteWrite(term: Term, at: number): void {
    const { course } = this;
    if (course?.led === undefined || course.promotingAt === undefined) return;
    if (compareTerms(term, course.led.term) !== 0) return;
    this.course = undefined;
    this.report(at - course.failedAt, {
      detectingMs: course.fencingAt - course.failedAt,
      fencingMs: course.promotingAt - course.fencingAt,
      promotingMs: course.led.at - course.promotingAt,
      firstWriteMs: at - course.led.at,
    });
  }

  /** Another VM's primary ends the course: its gap is that VM's to tell. */
  private noteLed(term: Term, at: number): void {
    if (this.course?.promotingAt === undefined) this.course = undefined;
    else this.course = { ...this.course, led: { at, term } };
  }
}
