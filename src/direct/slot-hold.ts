import type { LogFields } from "../log/index.js";

/** A slot that was held for longer is logged, in milliseconds: several times what a statement takes. */
export const longHoldMs = 250;

/** What the time was spent on for which a statement or transaction held its slot. Times are in milliseconds. */
export class SlotHold {
  private connectMs = 0;
  private commandMs = 0;
  private commands = 0;
  private busyAnswers = 0;

  constructor(private readonly startedAt: number) {}

  /** Records that the connection was acquired. */
  noteConnection(now: number): void {
    this.connectMs = now - this.startedAt;
  }

  /** Adds a command, from its sending until its answer was read. */
  addCommand(ms: number, isBusy: boolean): void {
    this.commandMs += ms;
    this.commands += 1;
    if (isBusy) this.busyAnswers += 1;
  }

  /** For how long the slot has been held. */
  measureMs(now: number): number {
    return now - this.startedAt;
  }

  /** What is left of `heldMs` is the time between commands: for the caller, or before another attempt. */
  describe(now: number): LogFields {
    const { commands, busyAnswers } = this;
    return {
      heldMs: Math.round(this.measureMs(now)),
      connectMs: Math.round(this.connectMs),
      commandMs: Math.round(this.commandMs),
      commands,
      busyAnswers,
    };
  }
}
