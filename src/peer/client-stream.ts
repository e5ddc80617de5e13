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
import { startStallTolerantTimer } from "./stall-tolerant-timer.js";
import { AsyncQueue } from "./queue.js";

/** One batch to be run at a peer. */
export interface Batch {
  readonly request: Request;
  readonly messages: Uint8Array;
  readonly opens: boolean;
  readonly redirected: boolean;
}

/** How a batch's trip to a peer ended. */
export type BatchResult =
  | { readonly type: "outcome"; readonly outcome: Outcome }
  | { readonly type: "redirect"; readonly owner?: Vm }
  /** `sent` tells whether the batch may have reached the peer. */
  | { readonly type: "broken"; readonly isSent: boolean; readonly reason: string };

/** What a stream needs from outside. */
export interface StreamOptions {
  readonly clock: Pick<Clock, "now">;
  readonly getHello: () => PeerHello;
  readonly onHello: (hello: PeerHello) => void;
  /** A batch that has not left by then is given up as not sent. Milliseconds. */
  readonly connectMs: number;
}

interface Trip {
  readonly item: ConverseRequest;
  readonly sink: MessageSink;
  readonly end: (result: BatchResult) => void;
  isSent: boolean;
}

/** The sending end of one stream to a peer. */
export class ClientStream {
  private readonly abort = new AbortController();
  private readonly requests: AsyncQueue<ConverseRequest>;
  private trip: Trip | undefined;
  private failure: string | undefined;
  private idleTimer: NodeJS.Timeout | undefined;

  constructor(
    readonly connection: PeerConnection,
    private readonly options: StreamOptions,
  ) {
    // An item handed over may be on its way; one still in the queue never will be after `drop`.
    this.requests = new AsyncQueue((item) => {
      if (this.trip?.item === item) this.trip.isSent = true;
    });
    const { signal } = this.abort;
    void this.read(connection.client.converse(this.requests, { signal }));
  }

  /** Whether another batch can be sent. */
  get isUsable(): boolean {
    return this.failure === undefined && this.trip === undefined;
  }

  /** Finishes the stream by itself after `ms`, unless it is used before. */
  startIdleTimer(ms: number, onFinish: () => void): void {
    this.idleTimer = setTimeout(() => {
      onFinish();
      this.finish();
    }, ms).unref();
  }

  stopIdleTimer(): void {
    clearTimeout(this.idleTimer);
  }

  /** Runs one batch. Never rejects. One at a time. */
  run(batch: Batch, sink: MessageSink, signal: AbortSignal): Promise<BatchResult> {
    const { failure } = this;
    if (failure !== undefined) {
      return Promise.resolve({ type: "broken", isSent: false, reason: failure });
    }
    return new Promise((resolve) => {
      const stopTimer = startStallTolerantTimer(this.options.connectMs, () => this.checkSent());
      const onAbort = (): void => this.close("the request was given up");
      const end = (result: BatchResult): void => {
        stopTimer();
        signal.removeEventListener("abort", onAbort);
        this.trip = undefined;
        resolve(result);
      };
      const item = this.encode(batch);
      this.trip = { item, sink, end, isSent: false };
      this.requests.push(item);
      signal.addEventListener("abort", onAbort);
      if (signal.aborted) onAbort();
    });
  }

  /** Ends a stream whose last batch is answered; the peer ends its side in turn. */
  finish(): void {
    this.failure ??= "the stream has finished";
    this.requests.end();
  }

  /** Ends the stream; what is under way ends as broken. */
  close(reason = "the stream was closed"): void {
    if (this.failure !== undefined) return;
    this.failure = reason;
    this.requests.discard();
    this.trip?.end({ type: "broken", isSent: this.trip.isSent, reason });
    this.abort.abort();
  }

  private encode({ request, messages, opens, redirected }: Batch): ConverseRequest {
    const message = encodeRequest(request, this.options.clock.now());
    return create(ConverseRequestSchema, {
      hello: encodeHello(this.options.getHello()),
      run: { request: message, messages, opens, redirected },
    });
  }

  private checkSent(): void {
    if (this.trip?.isSent === false) this.close("no connection to the peer in time");
  }

  /** Each response waits for the caller to take the one before; HTTP/2 holds the peer back. */
  private async read(responses: AsyncIterable<ConverseResponse>): Promise<void> {
    try {
      for await (const response of responses) await this.take(response);
      this.close("the peer ended the stream");
    } catch (error) {
      this.close(error instanceof Error ? error.message : String(error));
    }
  }

  private async take({ hello, answer, step }: ConverseResponse): Promise<void> {
    this.options.onHello(decodeHello(hello));
    const { trip } = this;
    if (trip === undefined) throw createMalformedError("an answer to no batch");
    for (const message of splitMessages(answer)) await trip.sink(message);
    switch (step.case) {
      case "outcome":
        trip.end({ type: "outcome", outcome: decodeOutcome(step.value) });
        break;
      case "redirect": {
        const { owner } = step.value;
        trip.end({ type: "redirect", ...(owner === undefined ? {} : { owner: decodeVm(owner) }) });
        break;
      }
      case undefined:
        break;
    }
  }
}
