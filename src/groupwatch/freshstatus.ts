import type { ControlResult, Target } from "../model/index.js";
import type { WatchPorts } from "./ports.js";

/** The result of a request, and when the request was sent. */
export interface TimedResult {
  readonly askedAt: number;
  readonly result: ControlResult;
}

/**
 * Sends status requests to one target, one at a time. Calls made while a request is in flight share the next
 * one, which is sent after each of these calls, so that many concurrent writes need only one request.
 */
export class FreshStatusClient {
  private current: Promise<TimedResult> | undefined;
  private next: Promise<TimedResult> | undefined;

  constructor(
    private readonly target: Target,
    private readonly ports: Pick<WatchPorts, "control" | "clock">,
    private readonly timeoutMs: number,
  ) {}

  /** Requests the status in a request that is sent no earlier than this call. */
  request(): Promise<TimedResult> {
    if (this.current === undefined) return this.send();
    this.next ??= this.current.then(() => {
      this.next = undefined;
      return this.send();
    });
    return this.next;
  }

  private send(): Promise<TimedResult> {
    const askedAt = this.ports.clock.now();
    const pending = this.ports.control
      .getStatus(this.target, { timeoutMs: this.timeoutMs })
      .then((result) => {
        if (this.current === pending) this.current = undefined;
        return { askedAt, result };
      });
    this.current = pending;
    return pending;
  }
}
