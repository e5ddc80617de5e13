import { create } from "@bufbuild/protobuf";
import type { Clock, MessageSink, Outcome, PeerHello, Request, Vm } from "../model/index.js";
import { decodeHello, decodeVm, encodeHello, createMalformedError } from "./codec.js";
import { decodeOutcome } from "./codec-outcome.js";
import { encodeRequest } from "./codec-request.js";
import {
  type ConverseRequest,
  ConverseRequestSchema,
  type ConverseResponse,
} from "./gen/radishwalk/peer/v1/peer_pb.js";
import type { PeerConnection } from "./connections.js";
import { splitMessages } from "./messages.js";
import { startStallTolerantTimer } from "../system/index.js";
import { AsyncQueue } from "./queue.js";

/** Messages of the database protocol that the peer runs as one request. */
export interface Batch {
  readonly request: Request;
  readonly messages: Uint8Array;
  /** Whether it is the first batch of a conversation. */
  readonly opens: boolean;
  /** Whether another peer has redirected it here; it is not redirected again. */
  readonly redirected: boolean;
}

/** The result of sending a batch to a peer. `owner` is undefined when the peer knows of none. */
export type BatchResult =
  | { readonly type: "outcome"; readonly outcome: Outcome }
  | { readonly type: "redirect"; readonly owner?: Vm }
  /** The stream failed; `isSent` tells whether the batch may have reached the peer. */
  | { readonly type: "broken"; readonly isSent: boolean; readonly reason: string };

/** Options of a `ClientStream`. */
export interface StreamOptions {
  readonly clock: Pick<Clock, "now">;
  readonly getHello: () => PeerHello;
  readonly onHello: (hello: PeerHello) => void;
  /** How long a batch may wait for the connection, in milliseconds; then it fails as not sent. */
  readonly connectMs: number;
}

interface PendingBatch {
  readonly message: ConverseRequest;
  readonly sink: MessageSink;
  readonly end: (result: BatchResult) => void;
  isSent: boolean;
}

/** The client side of one stream to a peer. Runs one batch at a time. */
export class ClientStream {
  private readonly abortController = new AbortController();
  private readonly requests: AsyncQueue<ConverseRequest>;
  private pending: PendingBatch | undefined;
  private failure: string | undefined;
  private idleTimer: NodeJS.Timeout | undefined;

  constructor(
    readonly connection: PeerConnection,
    private readonly options: StreamOptions,
  ) {
    // A message that has left the queue may be on the wire; one still queued is never sent after
    // `discard`.
    this.requests = new AsyncQueue((message) => {
      if (this.pending?.message === message) this.pending.isSent = true;
    });
    const { signal } = this.abortController;
    void this.readResponses(connection.client.converse(this.requests, { signal }));
  }

  /** Whether a batch can be sent now: the stream is open and no other batch is pending. */
  get isUsable(): boolean {
    return this.failure === undefined && this.pending === undefined;
  }

  /** Calls `onFinish` and finishes the stream after `ms`, unless `stopIdleTimer` is called before. */
  startIdleTimer(ms: number, onFinish: () => void): void {
    this.idleTimer = setTimeout(() => {
      onFinish();
      this.finish();
    }, ms).unref();
  }

  stopIdleTimer(): void {
    clearTimeout(this.idleTimer);
  }

  /** Runs one batch; the previous one must have ended. Never rejects. */
  run(batch: Batch, sink: MessageSink, signal: AbortSignal): Promise<BatchResult> {
    const { failure } = this;
    if (failure !== undefined) {
      return Promise.resolve({ type: "broken", isSent: false, reason: failure });
    }
    return new Promise((resolve) => {
      const stopTimer = startStallTolerantTimer(this.options.connectMs, () => this.failIfUnsent());
      const onAbort = (): void => this.close("the caller cancelled the request");
      const end = (result: BatchResult): void => {
        stopTimer();
        signal.removeEventListener("abort", onAbort);
        this.pending = undefined;
        resolve(result);
      };
      const message = this.encode(batch);
      this.pending = { message, sink, end, isSent: false };
      this.requests.push(message);
      signal.addEventListener("abort", onAbort);
      if (signal.aborted) onAbort();
    });
  }

  /** Ends the request side of a stream without a pending batch; the peer then ends its own side. */
  finish(): void {
    this.failure ??= "the stream has finished";
    this.requests.end();
  }

  /** Aborts the stream; a pending batch ends with a `broken` result. */
  close(reason = "the stream was closed"): void {
    if (this.failure !== undefined) return;
    this.failure = reason;
    this.requests.discard();
    this.pending?.end({ type: "broken", isSent: this.pending.isSent, reason });
    this.abortController.abort();
  }

  private encode({ request, messages, opens, redirected }: Batch): ConverseRequest {
    const message = encodeRequest(request, this.options.clock.now());
    return create(ConverseRequestSchema, {
      hello: encodeHello(this.options.getHello()),
      run: { request: message, messages, opens, redirected },
    });
  }

  private failIfUnsent(): void {
    if (this.pending?.isSent === false)
      this.close("the connection to the peer did not open in time");
  }

  /** Reads a response only when the caller has taken the previous one: HTTP/2 flow control slows the peer. */
  private async readResponses(responses: AsyncIterable<ConverseResponse>): Promise<void> {
    try {
      for await (const response of responses) await this.handleResponse(response);
      this.close("the peer ended the stream");
    } catch (error) {
      this.close(error instanceof Error ? error.message : String(error));
    }
  }

  private async handleResponse({ hello, answer, step }: ConverseResponse): Promise<void> {
    this.options.onHello(decodeHello(hello));
    const { pending } = this;
    if (pending === undefined) throw createMalformedError("a response without a pending batch");
    for (const message of splitMessages(answer)) await pending.sink(message);
    switch (step.case) {
      case "outcome":
        pending.end({ type: "outcome", outcome: decodeOutcome(step.value) });
        break;
      case "redirect": {
        const { owner } = step.value;
        pending.end({
          type: "redirect",
          ...(owner === undefined ? {} : { owner: decodeVm(owner) }),
        });
        break;
      }
      case undefined:
        break;
    }
  }
}
