import { Ticker } from "../capacity/index.js";
import type { Clock, Disposable } from "../model/index.js";

/** A transaction that is idle between two statements and holds a connection without a slot. */
export interface IdleTransaction {
  readonly target: string;
  /** Its level of importance; 0 is the most important. */
  readonly level: number;
  readonly hasWritten: boolean;
  /** On the proxy's clock, in milliseconds. */
  readonly idleSince: number;
  /** Rolls it back, which gives its connection back. */
  readonly end: () => void;
}

/**
 * A transaction that has been idle for less is not ended for others, in milliseconds. Callers need a round
 * trip of up to 66 ms between two statements, when they are in another region.
 */
const minIdleMs = 100;

/** Picks the idle transaction of a target that is ended for requests that wait for its connection. */
export function pickTransactionToEnd(
  idle: Iterable<IdleTransaction>,
  target: string,
  now: number,
): IdleTransaction | undefined {
  let picked: IdleTransaction | undefined;
  for (const transaction of idle) {
    if (transaction.target !== target || now - transaction.idleSince < minIdleMs) continue;
    if (picked === undefined || isEndedBefore(transaction, picked)) picked = transaction;
  }
  return picked;
}

/**
 * Those that have written are ended last, since their callers lose the most. Among the others the least
 * important level goes first, and in a level the one that has been idle longest.
 */
function isEndedBefore(a: IdleTransaction, b: IdleTransaction): boolean {
  if (a.hasWritten !== b.hasWritten) return b.hasWritten;
  if (a.level !== b.level) return a.level > b.level;
  return a.idleSince < b.idleSince;
}

/** The idle transactions of a group, which are ended when others need their connections. */
export class IdleTransactions implements Disposable {
  private readonly idle = new Set<IdleTransaction>();
  /** Those that are being rolled back and still hold their connection. */
  private readonly ending = new Set<IdleTransaction>();
  private readonly ticker = new Ticker(() => this.endForWaiting());

  /** `countWanted` counts the connections of a target that requests wait for. */
  constructor(
    private readonly clock: Pick<Clock, "now">,
    private readonly countWanted: (target: string) => number,
  ) {}

  get size(): number {
    return this.idle.size;
  }

  add(transaction: IdleTransaction): void {
    this.idle.add(transaction);
    this.ticker.setRunning(true);
  }

  /** Removes a transaction that runs a statement again, or has given its connection back. */
  remove(transaction: IdleTransaction): void {
    this.idle.delete(transaction);
    this.ending.delete(transaction);
    this.ticker.setRunning(this.idle.size > 0);
  }

  /** Records that a transaction is being rolled back, so that its connection will be free. */
  noteEnding(transaction: IdleTransaction): void {
    this.idle.delete(transaction);
    this.ending.add(transaction);
  }

  /** Ends as many idle transactions of each target as requests wait for connections to it. */
  endForWaiting(): void {
    for (const target of new Set([...this.idle].map((transaction) => transaction.target))) {
      const endingCount = [...this.ending].filter((t) => t.target === target).length;
      for (let missing = this.countWanted(target) - endingCount; missing > 0; missing -= 1) {
        const picked = pickTransactionToEnd(this.idle, target, this.clock.now());
        if (picked === undefined) break;
        this.noteEnding(picked);
        picked.end();
      }
    }
    this.ticker.setRunning(this.idle.size > 0);
  }

  dispose(): void {
    this.ticker.dispose();
    this.idle.clear();
  }
}
