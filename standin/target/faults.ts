/** Suspends callers of `wait` while it is closed, and resumes them when it is opened. */
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

  /** Resolves at once while the gate is open, otherwise when it is opened. */
  async wait(): Promise<void> {
    while (this.closed !== undefined) await this.closed.end;
  }
}

/** The simulated network between a target and one kind of peer; each direction can be cut. */
export class Channel {
  /** Closed while requests are held up; they arrive once it is opened. */
  readonly requests = new Gate();
  /** Closed while answers are held up; requests still arrive and are executed. */
  readonly answers = new Gate();

  /** Cuts both directions. */
  close(): void {
    this.requests.close();
    this.answers.close();
  }

  open(): void {
    this.requests.open();
    this.answers.open();
  }
}

/** How the answer to a commit is lost: the connection breaks, or stays open without an answer. */
export type AnswerLossMode = "break" | "silence";

/** The faults that can be injected into a running target. */
export class Faults {
  /** Factor applied to every statement's service time. */
  slowFactor = 1;
  /** Closed while the target is frozen: it accepts bytes, but executes and answers nothing. */
  readonly running = new Gate();
  readonly statements = new Channel();
  readonly control = new Channel();
  /** The replication links from and to this target. */
  readonly replication = new Channel();
  private readonly pendingLosses: AnswerLossMode[] = [];

  /** Drops the answers to the next `count` commits that change data; the commits take effect. */
  loseCommitAnswers(count: number, mode: AnswerLossMode): void {
    this.pendingLosses.push(...Array.from({ length: count }, () => mode));
  }

  /** Consumes the next pending answer loss; undefined when the commit's answer is to be sent. */
  takeAnswerLoss(): AnswerLossMode | undefined {
    return this.pendingLosses.shift();
  }

  /** Ends every active fault and discards pending answer losses. */
  endAll(): void {
    this.slowFactor = 1;
    this.pendingLosses.length = 0;
    for (const path of [this.running, this.statements, this.control, this.replication]) path.open();
  }
}
