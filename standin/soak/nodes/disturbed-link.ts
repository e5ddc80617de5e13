import type { CutDirection } from "./disturbance.js";

interface Passage {
  readonly dueMs: number;
  readonly run: () => void;
}

/** A cut that is in force. */
export interface LinkCut {
  readonly ports: ReadonlySet<number>;
  readonly direction: CutDirection;
}

/** TCP repeats a lost segment after 200 ms at the earliest; a second loss doubles that. */
const minRepeatMs = 200;
const maxRepeatMs = 400;

/** What disturbs all connections of a node now. */
export class LinkDisturbances {
  private readonly cuts = new Set<LinkCut>();
  /** The share of messages that are delayed until they are repeated. */
  lossShare = 0;

  add(cut: LinkCut): void {
    this.cuts.add(cut);
  }

  remove(cut: LinkCut): void {
    this.cuts.delete(cut);
  }

  isCut(port: number, direction: Exclude<CutDirection, "both">): boolean {
    return [...this.cuts].some(
      (cut) => cut.ports.has(port) && (cut.direction === "both" || cut.direction === direction),
    );
  }

  /** How long a message is delayed by loss, in milliseconds. */
  drawDelayMs(): number {
    if (Math.random() >= this.lossShare) return 0;
    return minRepeatMs + Math.random() * (maxRepeatMs - minRepeatMs);
  }
}

/** One direction of a connection: passes what it is given in order, later while it is cut or loses messages. */
export class DisturbedDirection {
  private readonly queue: Passage[] = [];
  /** Whether nothing passes any more. */
  isStalled = false;

  constructor(
    private readonly port: number,
    private readonly direction: Exclude<CutDirection, "both">,
    private readonly disturbances: LinkDisturbances,
    private readonly getNowMs: () => number = () => performance.now(),
  ) {}

  get isWaiting(): boolean {
    return this.queue.length > 0;
  }

  get isHeld(): boolean {
    return this.isStalled || this.disturbances.isCut(this.port, this.direction);
  }

  pass(run: () => void): void {
    const delayMs = this.disturbances.drawDelayMs();
    if (delayMs === 0 && !this.isWaiting && !this.isHeld) run();
    else this.queue.push({ dueMs: this.getNowMs() + delayMs, run });
  }

  /** Passes all that is due. */
  passDue(): void {
    while (!this.isHeld && (this.queue[0]?.dueMs ?? Infinity) <= this.getNowMs()) {
      this.queue.shift()?.run();
    }
  }
}
