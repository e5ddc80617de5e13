import {
  type AcknowledgementState,
  type AcknowledgeSafeguards,
  applyStatusAnswer,
  beginAcknowledgement,
  type StatusAnswer,
  type PendingWrite,
} from "../controller/acknowledge/index.js";
import { assertInvariant, type Clock, formatMark } from "../model/index.js";

/** Whether a committed write may be acknowledged. */
export type Confirmation =
  | { readonly type: "confirmed" }
  /** A newer term is under way: this primary can't vouch for the write, which may have run. */
  | { readonly type: "superseded" }
  /** The signal was aborted, or the watch disposed of, before it could be told. */
  | { readonly type: "timedOut" };

interface Waiter {
  state: AcknowledgementState;
  readonly ended: AbortController;
  readonly resolve: (confirmation: Confirmation) => void;
}

/** What confirmations need of the group. */
export interface ConfirmationPorts {
  readonly clock: Clock;
  readonly targets: readonly string[];
  readonly safeguards: AcknowledgeSafeguards;
  /** Asks a target afresh; its answer comes back through `observe`. */
  readonly ask: (target: string) => void;
  /** Between two fresh requests for the same write, where answers do not come by themselves. */
  readonly askAgainMs: number;
  /** Whether a majority is known to be fenced past the term of the write. */
  readonly isSuperseded: (write: PendingWrite) => boolean;
}

/** The writes of one group that wait to be acknowledged. */
export class Confirmations {
  private readonly waiters = new Set<Waiter>();

  constructor(private readonly ports: ConfirmationPorts) {}

  /** Waits until the write may be acknowledged or never can be by this primary. */
  wait(
    write: PendingWrite,
    known: readonly StatusAnswer[],
    signal: AbortSignal,
  ): Promise<Confirmation> {
    const begun = beginAcknowledgement(write, this.ports.targets, this.ports.safeguards);
    if (begun.type === "failed") return Promise.resolve({ type: "superseded" });
    if (signal.aborted) return Promise.resolve({ type: "timedOut" });
    return new Promise((resolve) => {
      const waiter: Waiter = { state: begun.state, ended: new AbortController(), resolve };
      this.waiters.add(waiter);
      const giveUp = (): void => this.end(waiter, { type: "timedOut" });
      signal.addEventListener("abort", giveUp, { once: true, signal: waiter.ended.signal });
      for (const { targets } of begun.effects) targets.forEach(this.ports.ask);
      for (const evidence of known) this.apply(waiter, evidence);
      void this.askAgain(waiter);
    });
  }

  /** Takes in an answer of a target. */
  observe(evidence: StatusAnswer): void {
    for (const waiter of [...this.waiters]) this.apply(waiter, evidence);
  }

  dispose(): void {
    for (const waiter of [...this.waiters]) this.end(waiter, { type: "timedOut" });
  }

  private apply(waiter: Waiter, evidence: StatusAnswer): void {
    const applied = applyStatusAnswer(waiter.state, evidence);
    if (applied.type === "failed") return;
    waiter.state = applied.state;
    for (const { targets } of applied.effects) targets.forEach(this.ports.ask);
    this.checkOutcome(waiter);
  }

  private checkOutcome(waiter: Waiter): void {
    switch (waiter.state.outcome) {
      case "waiting":
        return;
      case "confirmed":
        this.assertLeading(waiter.state.write);
        this.end(waiter, { type: "confirmed" });
        return;
      case "superseded":
        this.end(waiter, { type: "superseded" });
    }
  }

  private assertLeading(write: PendingWrite): void {
    const describe = (): string => `write at ${formatMark(write.mark)} of ${write.primary}`;
    assertInvariant("noSupersededAcknowledgement", !this.ports.isSuperseded(write), describe);
  }

  private end(waiter: Waiter, confirmation: Confirmation): void {
    if (!this.waiters.delete(waiter)) return;
    waiter.ended.abort();
    waiter.resolve(confirmation);
  }

  /** A lost answer, or a stream that has gone silent, would leave the caller waiting for good. */
  private async askAgain(waiter: Waiter): Promise<void> {
    while (this.waiters.has(waiter)) {
      await this.ports.clock
        .sleep(this.ports.askAgainMs, waiter.ended.signal)
        .catch(() => undefined);
      if (this.waiters.has(waiter)) this.ports.targets.forEach(this.ports.ask);
    }
  }
}
