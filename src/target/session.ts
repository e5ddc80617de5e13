import type { Socket } from "node:net";
import { targetEvents } from "../log/events/target.js";
import type { Logger } from "../log/index.js";
import type { ExchangeResult, MessageSink, TargetSession } from "../model/index.js";
import { FrameSplitter } from "./frames.js";

interface Exchange {
  readonly sink: MessageSink;
  readonly end: (result: ExchangeResult) => void;
}

const readyForQueryCode = 0x5a;
const statusOffset = 5;

/** Message types that a target may send at any time: notice, parameter status, error before closing. */
const asynchronousCodes: ReadonlySet<number> = new Set([0x4e, 0x53, 0x45]);

/** A connection to a target that has completed its start-up. */
export class PgTargetSession implements TargetSession {
  private readonly frames = new FrameSplitter();
  private queue: Buffer[] = [];
  private isDelivering = false;
  private current: Exchange | undefined;
  private isOpen = true;
  private progressTimer: NodeJS.Timeout | undefined;

  constructor(
    readonly target: string,
    private readonly socket: Socket,
    /** Maximum time without data from the target during an exchange, in milliseconds; 0 for no limit. */
    private readonly progressTimeoutMs: number,
    private readonly logger: Logger,
  ) {
    socket.on("data", (chunk) => this.handleChunk(chunk));
    socket.on("error", (error) => this.terminate(error.message));
    socket.on("close", () => this.terminate("the target closed the connection"));
  }

  get isUsable(): boolean {
    return this.isOpen && this.current === undefined;
  }

  exchange(messages: Uint8Array, sink: MessageSink, signal: AbortSignal): Promise<ExchangeResult> {
    const refusal = this.findNotSentReason(signal);
    if (refusal !== undefined) {
      return Promise.resolve({ type: "broken", sent: false, reason: refusal });
    }
    return new Promise((resolve) => {
      // An answer that arrives after the caller has gone would be delivered to the next caller. Closing
      // the connection suffices: nothing more is read from it.
      const onAbort = () => this.terminate("abandoned");
      signal.addEventListener("abort", onAbort, { once: true });
      const end = (result: ExchangeResult) => {
        signal.removeEventListener("abort", onAbort);
        resolve(result);
      };
      this.current = { sink, end };
      this.socket.write(messages);
      this.restartProgressTimer();
    });
  }

  close(): void {
    this.terminate("closed");
  }

  private findNotSentReason(signal: AbortSignal): string | undefined {
    if (!this.isOpen) return "the connection was closed before";
    if (this.current !== undefined) return "another exchange is under way";
    return signal.aborted ? "abandoned before it was sent" : undefined;
  }

  private handleChunk(chunk: Buffer): void {
    if (!this.isOpen) return;
    try {
      this.queue.push(...this.frames.push(chunk));
    } catch (error) {
      this.terminate(error instanceof Error ? error.message : String(error));
      return;
    }
    if (this.isDelivering) return;
    this.restartProgressTimer();
    void this.deliverQueue();
  }

  /** Delivers the queued messages one by one. The socket is paused while a sink's promise is pending. */
  private async deliverQueue(): Promise<void> {
    this.isDelivering = true;
    for (let message = this.queue.shift(); message !== undefined; message = this.queue.shift()) {
      const pending = this.deliverMessage(message);
      if (pending === undefined) continue;
      this.socket.pause();
      if (!(await this.waitForSink(pending))) return;
      this.socket.resume();
      this.restartProgressTimer();
    }
    this.isDelivering = false;
  }

  private async waitForSink(pending: Promise<void>): Promise<boolean> {
    clearTimeout(this.progressTimer);
    try {
      await pending;
    } catch (error) {
      this.terminate(`the sink failed: ${String(error)}`);
    }
    return this.isOpen;
  }

  private deliverMessage(message: Buffer): Promise<void> | undefined {
    const { current } = this;
    if (current === undefined) {
      this.closeIfUnexpected(message);
      return undefined;
    }
    if (message[0] !== readyForQueryCode) return callSink(current.sink, message);
    this.completeExchange(current, readStatus(message));
    return undefined;
  }

  private completeExchange(current: Exchange, status: "I" | "T" | "E"): void {
    this.current = undefined;
    clearTimeout(this.progressTimer);
    current.end({ type: "ready", status });
  }

  /**
   * Closes the connection on an unexpected message. Such a message shows that the proxy and the target
   * disagree about which exchange is current, and it could be read as the next caller's answer.
   */
  private closeIfUnexpected(message: Buffer): void {
    if (!asynchronousCodes.has(message[0] ?? 0)) this.terminate("unexpected message");
  }

  private restartProgressTimer(): void {
    clearTimeout(this.progressTimer);
    if (this.progressTimeoutMs === 0 || this.current === undefined) return;
    this.progressTimer = setTimeout(() => this.terminate("no progress"), this.progressTimeoutMs);
  }

  private terminate(reason: string): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.queue = [];
    clearTimeout(this.progressTimer);
    this.socket.destroy();
    const { current } = this;
    this.current = undefined;
    if (current === undefined) return;
    this.logger.write(targetEvents.connectionBroken, { target: this.target, reason });
    current.end({ type: "broken", sent: true, reason });
  }
}

function callSink(sink: MessageSink, message: Buffer): Promise<void> | undefined {
  try {
    const result = sink(message);
    return result instanceof Promise ? result : undefined;
  } catch (error) {
    return Promise.reject(error instanceof Error ? error : new Error(String(error)));
  }
}

function readStatus(message: Buffer): "I" | "T" | "E" {
  const status = String.fromCharCode(message[statusOffset] ?? 0);
  return status === "I" || status === "T" ? status : "E";
}
