import {
  applyDrainEvent,
  initialDrainState,
  type DrainEffect,
  type DrainEvent,
  type DrainOptions,
  type DrainState,
} from "../controller/drain/index.js";
import { processEvents } from "../log/events/process.js";
import type { LogFields, Logger } from "../log/index.js";
import { assertInvariant, type Clock } from "../model/index.js";

const countMs = 50;

/** What a `DrainKeeper` needs. */
export interface DrainKeeperOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly times: DrainOptions;
  /** Requests and open transactions of callers and peers that are in flight here. */
  readonly countInFlight: () => number;
  /** What is still in flight, for the log when the longest wait is over. */
  readonly describeInFlight?: () => LogFields;
  /** Turns not ready, says `leaving` to the peers, hands ownership on. */
  readonly onAnnounce: () => void;
  /** Takes no new callers and ends idle sessions. */
  readonly onRefuseNew: () => void;
}

/** Takes a process from serving to drained. */
export class DrainKeeper {
  private state: DrainState = initialDrainState;
  private ending: Promise<void> | undefined;

  constructor(private readonly options: DrainKeeperOptions) {}

  /** Whether a drain has begun. */
  isLeaving(): boolean {
    return this.state.type !== "serving";
  }

  /** Begins a drain, once; resolves when nothing is in flight or the longest wait is over. */
  drain(): Promise<void> {
    this.ending ??= this.run();
    return this.ending;
  }

  private async run(): Promise<void> {
    const { clock, countInFlight } = this.options;
    this.apply({ type: "asked", now: clock.now() });
    while (!this.isDrained()) {
      await clock.sleep(countMs);
      this.apply({ type: "counted", now: clock.now(), inFlight: countInFlight() });
    }
  }

  private isDrained(): boolean {
    return this.state.type === "drained";
  }

  private apply(event: DrainEvent): void {
    const applied = applyDrainEvent(this.state, event, this.options.times);
    if (applied.type === "failed") return;
    this.state = applied.state;
    for (const effect of applied.effects) this.execute(effect);
  }

  private execute(effect: DrainEffect): void {
    const { logger, onAnnounce, onRefuseNew } = this.options;
    switch (effect.type) {
      case "announce":
        logger.write(processEvents.drainRequested);
        onAnnounce();
        return;
      case "refuseNew":
        onRefuseNew();
        return;
      case "cutOff":
        logger.write(processEvents.drainTimedOut, {
          inFlight: effect.inFlight,
          ...this.options.describeInFlight?.(),
        });
        assertInvariant("gracefulShutdown", false, () => `${effect.inFlight} requests cut off`);
        return;
      case "end":
        logger.write(processEvents.drained);
        return;
    }
  }
}
