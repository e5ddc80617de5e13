import { connect } from "node:net";
import { create, fromBinary, type MessageInitShape } from "@bufbuild/protobuf";
import { sizeDelimitedEncode } from "@bufbuild/protobuf/wire";
import type { Address } from "../model/index.js";
import {
  GatewayRequestSchema,
  GatewayResponseSchema,
  type GatewayResponse,
} from "../peer/gen/radishwalk/direct/v1/gateway_pb.js";
import { decodeAnswer, type GatewayAnswer, type RequestStep } from "./codec.js";
import { FrameChannel } from "./channel.js";
import { maxFrameBytes } from "./frames.js";
import { LivenessMonitor } from "./liveness.js";

/** The result of a call to a gateway. */
export type ForwardResult =
  | { readonly type: "answered"; readonly answer: GatewayAnswer }
  /** Nothing has run: the gateway does not serve the group now. */
  | { readonly type: "turnedAway"; readonly reason: string }
  /** Nothing has run, and no gateway would accept it: the statement and the session's values are too long. */
  | { readonly type: "tooLarge" }
  /** When `isSent`, the call may have reached the gateway and run. */
  | { readonly type: "broken"; readonly isSent: boolean; readonly reason: string };

/** A connection within a data centre opens in 1 ms, or in some tens of milliseconds on a busy machine. */
const connectTimeoutMs = 250;
/** Longer than most statements take with their time in the queue; by themselves they take 14 to 55 ms. */
const probeAfterMs = 200;
/** A running process answers a ping within this time even when it is busy. */
const probeTimeoutMs = 250;
/** More concurrent calls on one connection fail at once, to bound memory. */
const maxConcurrentCalls = 4096;

interface Call {
  readonly settle: (result: ForwardResult) => void;
}

/**
 * A connection to a gateway, with its pending calls. Nothing is sent before the gateway's greeting: for a
 * process that is being killed, the system may still accept connections, and a statement sent on one would be
 * in doubt although there was no process to run it.
 */
export class GatewayConnection {
  private readonly channel: FrameChannel;
  private readonly calls = new Map<number, Call>();
  private readonly liveness: LivenessMonitor;
  private readonly connectTimer: NodeJS.Timeout;
  private nextCall = 1;
  private nextTransaction = 1;
  private isGreeted = false;
  /** Messages that wait for the greeting. */
  private readonly queued: Uint8Array[] = [];

  constructor(
    address: Address,
    private readonly onEnd: (reason: string) => void,
  ) {
    this.channel = new FrameChannel(connect({ ...address, noDelay: true }), {
      onData: () => this.liveness.recordData(),
      onFrame: (frame) => this.handle(fromBinary(GatewayResponseSchema, frame)),
      onClose: (reason) => this.handleClose(reason),
    });
    this.connectTimer = setTimeout(
      () => this.channel.close(`no greeting from the gateway within ${connectTimeoutMs} ms`),
      connectTimeoutMs,
    );
    this.liveness = new LivenessMonitor({
      probeAfterMs,
      probeTimeoutMs,
      sendProbe: () => this.send({ case: "ping", value: true }),
      onTimeout: () => this.channel.close("the gateway does not answer"),
    });
  }

  /** False once the connection broke or was closed. */
  get isOpen(): boolean {
    return this.channel.isOpen;
  }

  /** Returns an id that no other transaction on this connection has. */
  allocateTransactionId(): number {
    this.nextTransaction += 1;
    return this.nextTransaction - 1;
  }

  /**
   * Sends a step and waits for its answer. Never rejects. After `timeoutMs`, or when `signal` aborts because
   * the caller has disconnected, the call is cancelled at the gateway and a later answer is ignored.
   */
  call(step: RequestStep, timeoutMs: number, signal: AbortSignal): Promise<ForwardResult> {
    if (!this.isOpen || this.calls.size >= maxConcurrentCalls) {
      const reason = this.isOpen ? "too many calls are pending" : "the connection is closed";
      return Promise.resolve({ type: "broken", isSent: false, reason });
    }
    const id = this.nextCall;
    this.nextCall += 1;
    const bytes = encodeRequest(step, id);
    // The gateway would close the connection, and with it the pending calls of other sessions.
    if (bytes.length > maxFrameBytes) return Promise.resolve({ type: "tooLarge" });
    return new Promise((resolve) => {
      const cancel = (reason: string) => {
        this.send({ case: "cancel", value: id });
        this.calls.get(id)?.settle({ type: "broken", isSent: this.isGreeted, reason });
      };
      const onAbort = () => cancel("the caller has disconnected");
      const timer = setTimeout(
        () => cancel("the gateway did not answer in time"),
        Math.max(1, timeoutMs),
      );
      const settle = (result: ForwardResult) => {
        clearTimeout(timer);
        signal.removeEventListener("abort", onAbort);
        this.calls.delete(id);
        this.liveness.setAwaiting(this.calls.size > 0);
        resolve(result);
      };
      this.calls.set(id, { settle });
      signal.addEventListener("abort", onAbort, { once: true });
      this.write(bytes);
      this.liveness.setAwaiting(true);
    });
  }

  /** Sends a step that gets no answer. */
  send(step: RequestStep): void {
    this.write(encodeRequest(step, 0));
  }

  private write(bytes: Uint8Array): void {
    if (this.isGreeted) this.channel.write(bytes);
    else this.queued.push(bytes);
  }

  /** Closes the connection; pending calls end as `broken`. */
  close(): void {
    this.channel.close("closed by this process");
  }

  private handle({ call, outcome }: GatewayResponse): void {
    this.handleGreeting();
    switch (outcome.case) {
      case "reply":
        this.calls.get(call)?.settle({ type: "answered", answer: decodeAnswer(outcome.value) });
        return;
      case "turnedAway":
        this.calls.get(call)?.settle({ type: "turnedAway", reason: outcome.value });
        return;
      case "ping":
        this.send({ case: "pong", value: true });
        return;
      case "pong":
      case undefined:
        return;
    }
  }

  /** The gateway's first message is its greeting, whatever it is. */
  private handleGreeting(): void {
    if (this.isGreeted) return;
    this.isGreeted = true;
    clearTimeout(this.connectTimer);
    for (const bytes of this.queued.splice(0)) this.channel.write(bytes);
  }

  private handleClose(reason: string): void {
    clearTimeout(this.connectTimer);
    const isSent = this.isGreeted;
    for (const { settle } of [...this.calls.values()]) settle({ type: "broken", isSent, reason });
    this.liveness.stop();
    this.onEnd(reason);
  }
}

function encodeRequest(step: RequestStep, call: number): Uint8Array {
  const message: MessageInitShape<typeof GatewayRequestSchema> = { call, step };
  return sizeDelimitedEncode(GatewayRequestSchema, create(GatewayRequestSchema, message));
}
