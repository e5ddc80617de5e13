import type { Mark } from "../model/index.js";
import type { LogFields } from "../log/index.js";
import type { Place } from "./place.js";

/** What decided one statement, gathered on its way for the line that tells its outcome. */
export class StatementTrace {
  private place: Place | undefined;
  private atLeast: Mark | undefined;
  private tries = 0;
  private reason: string | undefined;

  /** The role of the target that answered last; none when the statement reached no target. */
  get role(): "primary" | "replica" | "none" {
    return this.place?.role ?? "none";
  }

  /** Notes a try at a target, and the mark that it had to hold. */
  noteTry(place: Place, atLeast?: Mark): void {
    this.place = place;
    this.atLeast = atLeast;
    this.tries += 1;
  }

  /** Notes why a try, or the statement, failed. */
  noteReason(reason: string): void {
    this.reason = reason;
  }

  describe(): LogFields {
    const { place, atLeast, tries, reason } = this;
    return {
      tries,
      ...(place === undefined ? {} : { target: place.target, role: place.role }),
      ...(atLeast === undefined ? {} : { atLeast: `${atLeast.term.round}.${atLeast.offset}` }),
      ...(reason === undefined ? {} : { reason }),
    };
  }
}
