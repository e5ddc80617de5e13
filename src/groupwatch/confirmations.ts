import {
  type AcknowledgementState,
  type AcknowledgeSafeguards,
  applyStatusAnswer,
  beginAcknowledgement,
  type StatusAnswer,
  type PendingWrite,
} from "../controller/acknowledge/index.js";
import { assertInvariant, type Clock, formatMark } from "../model/index.js";

/** The result of waiting until a committed write may be acknowledged. */
export type Confirmation =
  | { readonly type: "confirmed" }
  /** A newer term has begun: this primary can't guarantee that the write, which may have run, is kept. */
  | { readonly type: "superseded" }
  /** The signal was aborted, or the watch was disposed, before the result was known. */
  | { readonly type: "timedOut" };

interface Waiter {
  state: AcknowledgementState;
  readonly ended: AbortController;
  readonly resolve: (confirmation: Confirmation) => void;
}

/** Dependencies of `WriteConfirmations`. */
export interface ConfirmationPorts {
  readonly clock: Clock;
  readonly targets: readonly string[];
  readonly safeguards: AcknowledgeSafeguards;
  /** Sends a new status request to a target; the answer is passed to `observe`. */
  readonly requestStatus: (target: string) => void;
  /** Interval of repeated status requests while a write is not decided. */
  readonly statusRetryMs: number;
  /** Whether a majority is known to be fenced at a term newer than the write's. */
  readonly isSuperseded: (write: PendingWrite) => boolean;
}

/** Tracks the writes of one group that wait to be acknowledged. */
export class WriteConfirmations {
  private readonly waiters = new Set<Waiter>();

  constructor(private readonly ports: ConfirmationPorts) {}

  /** Waits until the write may be acknowledged, or until this primary can no longer confirm it. */
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
      for (const { targets } of begun.effects) targets.forEach(this.ports.requestStatus);
      for (const evidence of known) this.apply(waiter, evidence);
      void this.repeatStatusRequests(waiter);
    });
  }

  /** Applies a target's answer to all waiting writes. */
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
    for (const { targets } of applied.effects) targets.forEach(this.ports.requestStatus);
    this.checkOutcome(waiter);
  }

  private checkOutcome(waiter: Waiter): void {
    switch (waiter.state.outcome) {
      case "waiting":
        return;
      case "confirmed":
        this.assertNotSuperseded(waiter.state.write);
        this.end(waiter, { type: "confirmed" });
        return;
      case "superseded":
        this.end(waiter, { type: "superseded" });
    }
  }

  private assertNotSuperseded(write: PendingWrite): void {
    const describe = (): string => `write at ${formatMark(write.mark)} of ${write.primary}`;
    assertInvariant("noSupersededAcknowledgement", !this.ports.isSuperseded(write), describe);
  }

  private end(waiter: Waiter, confirmation: Confirmation): void {
    if (!this.waiters.delete(waiter)) return;
    waiter.ended.abort();
    waiter.resolve(confirmation);
  }

  /** Repeats status requests, since a lost answer or a silent stream would leave the caller waiting forever. */
  private async repeatStatusRequests(waiter: Waiter): Promise<void> {
    while (this.waiters.has(waiter)) {
      await this.ports.clock
        .sleep(this.ports.statusRetryMs, waiter.ended.signal)
        .catch(() => undefined);
      if (this.waiters.has(waiter)) this.ports.targets.forEach(this.ports.requestStatus);
    }
  }
}
