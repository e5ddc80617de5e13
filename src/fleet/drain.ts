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

/** Interval at which the requests in flight are counted during a drain. */
const inFlightPollMs = 50;

/** Dependencies of a `DrainRunner`. */
export interface DrainRunnerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly timings: DrainOptions;
  /** Counts the requests and open transactions of callers and peers in flight in this process. */
  readonly countInFlight: () => number;
  /** Returns log fields on what is still in flight when the time limit of the drain is reached. */
  readonly describeInFlight?: () => LogFields;
  /** Makes the readiness check fail, announces `leaving` to the peers and hands over ownership. */
  readonly onAnnounce: () => void;
  /** Stops accepting callers and ends idle sessions. */
  readonly onRefuseNew: () => void;
}

/** Runs the graceful shutdown of a process, from serving to drained. */
export class DrainRunner {
  private state: DrainState = initialDrainState;
  private drainPromise: Promise<void> | undefined;

  constructor(private readonly options: DrainRunnerOptions) {}

  /** Whether a drain has started; stays true once it has finished. */
  isLeaving(): boolean {
    return this.state.type !== "serving";
  }

  /**
   * Starts the drain, or joins the one that runs. Resolves when nothing is in flight or the time
   * limit is reached.
   */
  drain(): Promise<void> {
    this.drainPromise ??= this.run();
    return this.drainPromise;
  }

  private async run(): Promise<void> {
    const { clock, countInFlight } = this.options;
    this.apply({ type: "asked", now: clock.now() });
    while (!this.isDrained()) {
      await clock.sleep(inFlightPollMs);
      this.apply({ type: "counted", now: clock.now(), inFlight: countInFlight() });
    }
  }

  private isDrained(): boolean {
    return this.state.type === "drained";
  }

  private apply(event: DrainEvent): void {
    const applied = applyDrainEvent(this.state, event, this.options.timings);
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
        assertInvariant(
          "gracefulShutdown",
          false,
          () => `${effect.inFlight} requests were cut off at the time limit of the drain`,
        );
        return;
      case "end":
        logger.write(processEvents.drained);
        return;
    }
  }
}
