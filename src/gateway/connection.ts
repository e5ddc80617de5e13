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

/** How a call to a gateway ended. */
export type ForwardResult =
  | { readonly type: "answered"; readonly answer: GatewayAnswer }
  /** Nothing has run: that process does not serve the group now. */
  | { readonly type: "turnedAway"; readonly reason: string }
  /** Nothing has run, and no gateway would take it: the statement and its session's values are too long. */
  | { readonly type: "tooLarge" }
  /** `sent`: the call may have reached the gateway, and run. */
  | { readonly type: "broken"; readonly sent: boolean; readonly reason: string };

/** A connection within a data centre opens in 1 ms, on a busy machine some tens more. */
const connectMs = 250;
/** Longer than most statements take, 14 to 55 ms, and their queue. */
const quietMs = 200;
/** A process that runs answers within this, busy or not. */
const patienceMs = 250;
/** More calls than this on one connection at once are turned away here, to bound memory. */
const maxCalls = 4096;

interface Call {
  readonly end: (result: ForwardResult) => void;
}

/**
 * One connection to a gateway, with the calls that are under way on it. Nothing is sent before the
 * gateway's greeting: a process that is being killed may still have connections accepted for it, and what
 * was sent on one would be in doubt, though nobody was there to run it.
 */
export class GatewayConnection {
  private readonly channel: FrameChannel;
  private readonly calls = new Map<number, Call>();
  private readonly silence: LivenessMonitor;
  private readonly connectTimer: NodeJS.Timeout;
  private nextCall = 1;
  private nextTransaction = 1;
  private isGreeted = false;
  /** What waits for the greeting. */
  private readonly unsent: Uint8Array[] = [];

  constructor(
    address: Address,
    private readonly onEnd: (reason: string) => void,
  ) {
    this.channel = new FrameChannel(connect({ ...address, noDelay: true }), {
      onData: () => this.silence.recordData(),
      onFrame: (frame) => this.handle(fromBinary(GatewayResponseSchema, frame)),
      onClose: (reason) => this.noteEnd(reason),
    });
    this.connectTimer = setTimeout(() => this.channel.close("no connection in time"), connectMs);
    this.silence = new LivenessMonitor({
      probeAfterMs: quietMs,
      probeTimeoutMs: patienceMs,
      sendProbe: () => this.send({ case: "ping", value: true }),
      onTimeout: () => this.channel.close("the gateway is silent"),
    });
  }

  /** False once it broke or was closed. */
  get isOpen(): boolean {
    return this.channel.isOpen;
  }

  /** An id for a transaction that no other on this connection has. */
  allocateTransactionId(): number {
    this.nextTransaction += 1;
    return this.nextTransaction - 1;
  }

  /**
   * Sends a step and waits for its answer. Never rejects. After `timeoutMs`, or once the caller has gone,
   * the gateway is told to give it up, and whatever it answers then reaches nobody.
   */
  call(step: RequestStep, timeoutMs: number, gone: AbortSignal): Promise<ForwardResult> {
    if (!this.isOpen || this.calls.size >= maxCalls) {
      const reason = this.isOpen ? "too much is under way" : "the connection is closed";
      return Promise.resolve({ type: "broken", sent: false, reason });
    }
    const id = this.nextCall;
    this.nextCall += 1;
    const bytes = encodeRequest(step, id);
    // Sent all the same it would end the connection, and what others have under way on it.
    if (bytes.length > maxFrameBytes) return Promise.resolve({ type: "tooLarge" });
    return new Promise((resolve) => {
      const giveUp = (reason: string) => {
        this.send({ case: "cancel", value: id });
        this.calls.get(id)?.end({ type: "broken", sent: this.isGreeted, reason });
      };
      const onGone = () => giveUp("the caller has gone");
      const timer = setTimeout(() => giveUp("no answer in time"), Math.max(1, timeoutMs));
      const end = (result: ForwardResult) => {
        clearTimeout(timer);
        gone.removeEventListener("abort", onGone);
        this.calls.delete(id);
        this.silence.setAwaiting(this.calls.size > 0);
        resolve(result);
      };
      this.calls.set(id, { end });
      gone.addEventListener("abort", onGone, { once: true });
      this.write(bytes);
      this.silence.setAwaiting(true);
    });
  }

  /** Sends a step that has no answer. */
  send(step: RequestStep): void {
    this.write(encodeRequest(step, 0));
  }

  private write(bytes: Uint8Array): void {
    if (this.isGreeted) this.channel.write(bytes);
    else this.unsent.push(bytes);
  }

  /** Closes the connection; what is under way ends as broken. */
  close(): void {
    this.channel.close("closed here");
  }

  private handle({ call, outcome }: GatewayResponse): void {
    this.noteGreeting();
    switch (outcome.case) {
      case "reply":
        this.calls.get(call)?.end({ type: "answered", answer: decodeAnswer(outcome.value) });
        return;
      case "turnedAway":
        this.calls.get(call)?.end({ type: "turnedAway", reason: outcome.value });
        return;
      case "ping":
        this.send({ case: "pong", value: true });
        return;
      case "pong":
      case undefined:
        return;
    }
  }

  /** The first message of a gateway greets. */
  private noteGreeting(): void {
    if (this.isGreeted) return;
    this.isGreeted = true;
    clearTimeout(this.connectTimer);
    for (const bytes of this.unsent.splice(0)) this.channel.write(bytes);
  }

  private noteEnd(reason: string): void {
    clearTimeout(this.connectTimer);
    const sent = this.isGreeted;
    for (const { end } of [...this.calls.values()]) end({ type: "broken", sent, reason });
    this.silence.stop();
    this.onEnd(reason);
  }
}

function encodeRequest(step: RequestStep, call: number): Uint8Array {
  const message: MessageInitShape<typeof GatewayRequestSchema> = { call, step };
  return sizeDelimitedEncode(GatewayRequestSchema, create(GatewayRequestSchema, message));
}
