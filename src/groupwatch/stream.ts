import type { Clock, ControlResult, Target, TargetControl, TargetStatus } from "../model/index.js";

/** An answer that came on a stream. */
export interface StreamAnswer {
  readonly status: TargetStatus;
  readonly askedAt: number;
  /** Absent where the target answered because something had changed. */
  readonly latenessMs?: number;
}

/** What a stream is made of. */
export interface StreamOptions {
  readonly target: Target;
  readonly control: TargetControl;
  readonly clock: Clock;
  /** How long the target holds an answer back while nothing changes, by its last role. */
  readonly findWaitMs: (role: TargetStatus["role"] | undefined) => number;
  /** How long after that an answer is still waited for on this connection. */
  readonly findPatienceMs: () => number;
  /** Between a failed request and the next. */
  readonly retryMs: number;
  readonly onAnswer: (answer: StreamAnswer) => void;
  readonly onMiss: (reason: string) => void;
}

/**
 * Status requests to one target, one after the other, each answered when the position or the fence
 * changes: positions arrive as they change, on one request per target instead of one per write.
 */
export class StatusStream {
  private readonly stopped = new AbortController();
  private cancelWait: () => void = () => undefined;
  private last: TargetStatus | undefined;
  private isFresh = false;

  constructor(private readonly options: StreamOptions) {}

  start(): void {
    void this.run();
  }

  /** Gives the connection up: a request that is still open on it is no longer waited for. */
  renew(): void {
    this.isFresh = true;
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
      this.isFresh = true;
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
    const { control, clock, target, findWaitMs, findPatienceMs } = this.options;
    const waitMs = findWaitMs(this.last?.role);
    const after = this.last;
    const askedAt = clock.now();
    const isFresh = this.isFresh;
    this.isFresh = false;
    const result = await control.getStatus(target, {
      timeoutMs: waitMs + findPatienceMs(),
      ...(after === undefined
        ? {}
        : { after: { mark: after.mark, fencedAt: after.fencedAt }, waitMs }),
      ...(isFresh ? { fresh: true } : {}),
    });
    if (!this.stopped.signal.aborted) this.report(result, askedAt, after, waitMs);
    return result;
  }

  private report(
    result: ControlResult,
    askedAt: number,
    after: TargetStatus | undefined,
    waitMs: number,
  ): void {
    if (result.type !== "accepted") {
      this.options.onMiss(result.type === "refused" ? "refused" : result.reason);
      return;
    }
    const { status } = result;
    this.last = status;
    const isUnchanged = after?.mark.offset === status.mark.offset;
    const latenessMs = Math.max(0, this.options.clock.now() - askedAt - waitMs);
    this.options.onAnswer({ status, askedAt, ...(isUnchanged ? { latenessMs } : {}) });
  }
}
