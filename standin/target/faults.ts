/** Holds work back while it is closed. What waits goes on when it is opened again. */
export class Gate {
  private closed: { readonly end: Promise<void>; readonly release: () => void } | undefined;

  get isClosed(): boolean {
    return this.closed !== undefined;
  }

  close(): void {
    if (this.closed !== undefined) return;
    let release = (): void => undefined;
    const end = new Promise<void>((resolve) => (release = resolve));
    this.closed = { end, release };
  }

  open(): void {
    const { closed } = this;
    this.closed = undefined;
    closed?.release();
  }

  /** Resolves at once, or when the gate is open again. */
  async wait(): Promise<void> {
    while (this.closed !== undefined) await this.closed.end;
  }
}

/** How the answer to a commit is lost: the connection breaks, or stays open and says nothing. */
export type LostAnswer = "break" | "silence";

/** The faults of one target that can be switched on and off while it runs. */
export class Faults {
  /** Multiplies every service time. */
  slowFactor = 1;
  /** Closed while the target is frozen: bytes are accepted, nothing is done or answered. */
  readonly running = new Gate();
  /** Closed while control connections are cut: what is sent arrives after the cut. */
  readonly control = new Gate();
  /** Closed while records are copied neither from nor to this target. */
  readonly replication = new Gate();
  private readonly lost: LostAnswer[] = [];

  /** Loses the answers to the next commits after they took effect. */
  loseCommitAnswers(count: number, how: LostAnswer): void {
    this.lost.push(...Array.from({ length: count }, () => how));
  }

  /** Takes the fate of the answer to the commit that has just taken effect. */
  takeLostAnswer(): LostAnswer | undefined {
    return this.lost.shift();
  }

  /** Ends every fault that lasts. */
  endAll(): void {
    this.slowFactor = 1;
    this.lost.length = 0;
    for (const gate of [this.running, this.control, this.replication]) gate.open();
  }
}
