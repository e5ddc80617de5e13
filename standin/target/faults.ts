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

/** The way between a target and one sort of its peers, which can be cut one way or both. */
export class Channel {
  /** Closed while nothing arrives; what is sent arrives after the cut. */
  readonly requests = new Gate();
  /** Closed while requests arrive and are carried out, but no answer goes out. */
  readonly answers = new Gate();

  /** Cuts both ways. */
  close(): void {
    this.requests.close();
    this.answers.close();
  }

  open(): void {
    this.requests.open();
    this.answers.open();
  }
}

/** How the answer to a commit is lost: the connection breaks, or stays open and says nothing. */
export type AnswerLossMode = "break" | "silence";

/** The faults of one target that can be switched on and off while it runs. */
export class Faults {
  /** Multiplies every service time. */
  slowFactor = 1;
  /** Closed while the target is frozen: bytes are accepted, nothing is done or answered. */
  readonly running = new Gate();
  readonly statements = new Channel();
  readonly control = new Channel();
  /** Links on which records are copied from or to this target. */
  readonly replication = new Channel();
  private readonly lost: AnswerLossMode[] = [];

  /** Loses the answers to the next commits after they took effect. */
  loseCommitAnswers(count: number, how: AnswerLossMode): void {
    this.lost.push(...Array.from({ length: count }, () => how));
  }

  /** Takes the fate of the answer to the commit that has just taken effect. */
  takeAnswerLoss(): AnswerLossMode | undefined {
    return this.lost.shift();
  }

  /** Ends every fault that lasts. */
  endAll(): void {
    this.slowFactor = 1;
    this.lost.length = 0;
    for (const way of [this.running, this.statements, this.control, this.replication]) way.open();
  }
}
