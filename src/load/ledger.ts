/** A violation of a consistency guarantee that the load tool detected. */
export interface Violation {
  readonly invariant: "readYourWrites" | "atMostOnce";
  readonly session: string;
  readonly detail: string;
}

/**
 * Counts the reservations of one session by outcome. A count that the session reads must include all
 * committed ones, and no more than these and the uncertain ones. A lower count shows a write that is
 * lost or not visible. A higher count shows one that ran twice, or that ran although it was reported
 * as not run.
 */
export class SessionLedger {
  private committed = 0;
  private uncertain = 0;

  constructor(readonly session: string) {}

  /** Records a reservation that was committed. */
  recordCommitted(): void {
    this.committed += 1;
  }

  /** Records a reservation whose outcome is unknown. */
  recordUncertain(): void {
    this.uncertain += 1;
  }

  /** Checks a count that the session read. */
  checkCount(count: number): Violation | undefined {
    const { session, committed, uncertain } = this;
    const detail = `read ${count}, ${committed} landed, ${uncertain} may have`;
    if (count < committed) return { invariant: "readYourWrites", session, detail };
    if (count > committed + uncertain) return { invariant: "atMostOnce", session, detail };
    return undefined;
  }
}
