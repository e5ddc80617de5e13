import type { ControlResult, Target } from "../model/index.js";
import type { WatchPorts } from "./ports.js";

/** An answer to a request, and when the request was sent. */
export interface Asked {
  readonly askedAt: number;
  readonly result: ControlResult;
}

/**
 * Fresh status requests to one target, one at a time. Whoever asks while one is under way shares the
 * next: its request is then sent after the question came up, and many writes cost one request.
 */
export class FreshAsker {
  private current: Promise<Asked> | undefined;
  private next: Promise<Asked> | undefined;

  constructor(
    private readonly target: Target,
    private readonly ports: Pick<WatchPorts, "control" | "clock">,
    private readonly timeoutMs: number,
  ) {}

  /** Asks in a request that is sent no earlier than this call. */
  ask(): Promise<Asked> {
    if (this.current === undefined) return this.send();
    this.next ??= this.current.then(() => {
      this.next = undefined;
      return this.send();
    });
    return this.next;
  }

  private send(): Promise<Asked> {
    const askedAt = this.ports.clock.now();
    const asked = this.ports.control
      .getStatus(this.target, { timeoutMs: this.timeoutMs })
      .then((result) => {
        if (this.current === asked) this.current = undefined;
        return { askedAt, result };
      });
    this.current = asked;
    return asked;
  }
}
