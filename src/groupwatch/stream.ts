import type { Clock, ControlResult, Target, TargetControl, TargetStatus } from "../model/index.js";

/** A status answer received from a target. */
export interface StreamAnswer {
  readonly status: TargetStatus;
  readonly askedAt: number;
  /** How late the answer was; absent if the target answered early because of a change. */
  readonly latenessMs?: number;
}

/** Options of a `StatusStream`. */
export interface StreamOptions {
  readonly target: Target;
  readonly control: TargetControl;
  readonly clock: Clock;
  /** How long the target may hold its answer back while nothing changes, by its last known role. */
  readonly getHoldMs: (role: TargetStatus["role"] | undefined) => number;
  /** How much longer an answer is awaited on the connection. */
  readonly getGraceMs: () => number;
  /** Delay between a failed request and the next one. */
  readonly retryMs: number;
  readonly onAnswer: (answer: StreamAnswer) => void;
  readonly onMiss: (reason: string) => void;
}

/**
 * Follows one target's status by long polling: one request after the other, each answered when the position or
 * the fence changes. Position changes arrive at once, with one open request per target instead of one per write.
 */
export class StatusStream {
  private readonly stopped = new AbortController();
  private cancelWait: () => void = () => undefined;
  private last: TargetStatus | undefined;
  private isReconnectDue = false;

  constructor(private readonly options: StreamOptions) {}

  start(): void {
    void this.run();
  }

  /** Abandons the open request; the next one uses a new connection. */
  reconnect(): void {
    this.isReconnectDue = true;
    this.cancelWait();
  }

  dispose(): void {
    this.stopped.abort();
    this.cancelWait();
  }

  private async run(): Promise<void> {
    while (!this.stopped.signal.aborted) {
      const result = await this.askOnce();
      if (result === undefined || result.type === "accepted") continue;
      this.isReconnectDue = true;
      await this.sleep();
    }
  }

  private askOnce(): Promise<ControlResult | undefined> {
    return new Promise((resolve, reject) => {
      this.cancelWait = () => resolve(undefined);
      this.ask().then(resolve, reject);
    });
  }

  private async sleep(): Promise<void> {
    const { clock, retryMs } = this.options;
    const ended = new AbortController();
    this.cancelWait = () => ended.abort();
    await clock.sleep(retryMs, ended.signal).catch(() => undefined);
  }

  private async ask(): Promise<ControlResult> {
    const { control, clock, target, getHoldMs, getGraceMs } = this.options;
    const holdMs = getHoldMs(this.last?.role);
    const after = this.last;
    const askedAt = clock.now();
    const isFresh = this.isReconnectDue;
    this.isReconnectDue = false;
    const result = await control.getStatus(target, {
      timeoutMs: holdMs + getGraceMs(),
      ...(after === undefined
        ? {}
        : { after: { mark: after.mark, fencedAt: after.fencedAt }, waitMs: holdMs }),
      ...(isFresh ? { fresh: true } : {}),
    });
    if (!this.stopped.signal.aborted) this.report(result, askedAt, after, holdMs);
    return result;
  }

  private report(
    result: ControlResult,
    askedAt: number,
    after: TargetStatus | undefined,
    holdMs: number,
  ): void {
    if (result.type !== "accepted") {
      this.options.onMiss(result.type === "refused" ? "refused" : result.reason);
      return;
    }
    const { status } = result;
    this.last = status;
    const isUnchanged = after?.mark.offset === status.mark.offset;
    const latenessMs = Math.max(0, this.options.clock.now() - askedAt - holdMs);
    this.options.onAnswer({ status, askedAt, ...(isUnchanged ? { latenessMs } : {}) });
  }
}
