/** A broken promise that the load tool saw. */
export interface Violation {
  readonly invariant: "readYourWrites" | "atMostOnce";
  readonly session: string;
  readonly detail: string;
}

/**
 * What one session knows of its own reservations. The count it reads must hold all that landed and
 * no more than those that may have: less is a write not seen or lost, more is one that ran twice,
 * or ran after a promise that it had not.
 */
export class SessionLedger {
  private landed = 0;
  private open = 0;

  constructor(readonly session: string) {}

  recordCommitted(): void {
    this.landed += 1;
  }

  /** Its outcome stays unknown. */
  recordUncertain(): void {
    this.open += 1;
  }

  /** Checks a count that the session read. */
  checkCount(count: number): Violation | undefined {
    const { session, landed, open } = this;
    const detail = `read ${count}, ${landed} landed, ${open} may have`;
    if (count < landed) return { invariant: "readYourWrites", session, detail };
    if (count > landed + open) return { invariant: "atMostOnce", session, detail };
    return undefined;
  }
}
