import { connect } from "node:net";
import { create, fromBinary, type MessageInitShape } from "@bufbuild/protobuf";
import { sizeDelimitedEncode } from "@bufbuild/protobuf/wire";
import type { Address } from "../model/index.js";
import {
  GatewayRequestSchema,
  GatewayResponseSchema,
  type GatewayPositions,
  type GatewayLoad,
  type GatewayResponse,
} from "../peer/gen/radishwalk/direct/v1/gateway_pb.js";
import type { TokenGrant } from "../rates/index.js";
import { decodeAnswer, type GatewayAnswer, type RequestStep } from "./codec.js";
import { FrameChannel } from "./channel.js";
import { maxFrameBytes } from "./frames.js";
import { startStallTolerantTimer, type ResponseTimes } from "../system/index.js";
import { LivenessMonitor } from "./liveness.js";

/** The result of a call to a gateway. */
export type ForwardResult =
  | { readonly type: "answered"; readonly answer: GatewayAnswer }
  /** Nothing has run: the gateway does not serve the group now. */
  | { readonly type: "turnedAway"; readonly reason: string }
  /** Nothing has run: the statement needs the primary's gateway, or one of another region. */
  | { readonly type: "redirected"; readonly reason: string; readonly leavesRegion: boolean }
  /** Nothing has run, and no gateway would accept it: the statement and the session's values are too long. */
  | { readonly type: "tooLarge" }
  /** When `isSent`, the call may have reached the gateway and run. */
  | { readonly type: "broken"; readonly isSent: boolean; readonly reason: string };

/**
 * How long a call waits for the greeting, in milliseconds. A connection within a data centre opens in 1 ms, or
 * in some tens of milliseconds on a busy machine.
 */
const greetingTimeoutMs = 250;
/**
 * A connection without a greeting is closed after this time, in milliseconds. It is longer than a call waits:
 * opening a connection anew for each call keeps busy gateways from ever greeting one in time.
 */
const maxConnectMs = 1000;
/** Longer than most statements take with their time in the queue; by themselves they take 14 to 55 ms. */
const probeAfterMs = 200;
/** A running process answers a ping within this time even when it is busy. */
const probeTimeoutMs = 250;
/** More concurrent calls on one connection fail at once, to bound memory. */
const maxConcurrentCalls = 4096;

/** The result of a request for tokens. */
export type TokenResult =
  | { readonly type: "granted"; readonly grant: TokenGrant }
  /** The gateway's build does not answer such requests here. */
  | { readonly type: "unsupported" }
  | { readonly type: "silent" };

interface Call {
  readonly settle: (result: ForwardResult) => void;
}

/** A message that waits for the greeting. */
interface QueuedMessage {
  /** The call it belongs to; 0 for a message without an answer. */
  readonly call: number;
  readonly bytes: Uint8Array;
}

/** What a connection reports to its owner. */
export interface GatewayConnectionHandlers {
  /** The gateway has not greeted in time; the connection may still come about. */
  readonly onSlow: (reason: string) => void;
  /** An answer reports the gateway's load. */
  readonly onLoad: (load: GatewayLoad) => void;
  /** The connection has ended. */
  readonly onEnd: (reason: string) => void;
}

/**
 * A connection to a gateway, with its pending calls. Nothing is sent before the gateway's greeting: for a
 * process that is being killed, the system may still accept connections, and a statement sent on one would be
 * in doubt although there was no process to run it.
 */
export class GatewayConnection {
  private readonly channel: FrameChannel;
  private readonly calls = new Map<number, Call>();
  private readonly tokenRequests = new Map<number, (result: TokenResult) => void>();
  private readonly positionRequests = new Map<number, (answer?: GatewayPositions) => void>();
  private readonly liveness: LivenessMonitor;
  private readonly openedAt = performance.now();
  private readonly stopConnectTimer: () => void;
  private stopGreetingTimer: (() => void) | undefined;
  private nextCall = 1;
  private nextTransaction = 1;
  private isGreeted = false;
  private grantsTokens = false;
  private answersPositions = true;
  private dataCount = 0;
  private isGatewayServing = true;
  private queued: readonly QueuedMessage[] = [];

  constructor(
    address: Address,
    private readonly responseTimes: ResponseTimes,
    private readonly handlers: GatewayConnectionHandlers,
  ) {
    this.channel = new FrameChannel(connect({ ...address, noDelay: true }), {
      onData: () => {
        this.dataCount += 1;
        this.liveness.recordData();
      },
      onFrame: (frame) => this.handle(fromBinary(GatewayResponseSchema, frame)),
      onClose: (reason) => this.handleClose(reason),
    });
    this.stopConnectTimer = startStallTolerantTimer(maxConnectMs, () =>
      this.channel.close(`no greeting from the gateway within ${maxConnectMs} ms`),
    );
    this.liveness = new LivenessMonitor({
      probeAfterMs,
      getProbeTimeoutMs: () => responseTimes.computeTimeoutMs(probeTimeoutMs),
      onProbeAnswered: (ms) => responseTimes.record(ms),
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
        if (this.isGreeted) this.send({ case: "cancel", value: id });
        else this.queued = this.queued.filter(({ call }) => call !== id);
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
      this.write({ call: id, bytes });
      this.liveness.setAwaiting(this.isGreeted);
      if (!this.isGreeted) this.awaitGreeting();
    });
  }

  /** Asks the gateway for tokens of a team's rate. Never rejects. */
  requestTokens(team: string, wanted: number, timeoutMs: number): Promise<TokenResult> {
    if (!this.isOpen) return Promise.resolve({ type: "silent" });
    if (this.isGreeted && !this.grantsTokens) return Promise.resolve({ type: "unsupported" });
    const id = this.nextCall;
    this.nextCall += 1;
    return new Promise((resolve) => {
      const stopTimer = startStallTolerantTimer(timeoutMs, () => {
        this.tokenRequests.get(id)?.({ type: "silent" });
      });
      this.tokenRequests.set(id, (result) => {
        stopTimer();
        this.tokenRequests.delete(id);
        resolve(result);
      });
      const step = { case: "tokens", value: { team, wanted } } as const;
      this.write({ call: id, bytes: encodeRequest(step, id) });
    });
  }

  /**
   * Asks the gateway for the positions of a group's targets; undefined if it does not answer. A gateway that once
   * has not answered is not asked again on this connection, as its build does not know the request.
   */
  requestPositions(group: string, timeoutMs: number): Promise<GatewayPositions | undefined> {
    if (!this.isOpen || !this.answersPositions) return Promise.resolve(undefined);
    // One that waits for the greeting is sent later, or never.
    const { isGreeted } = this;
    const id = this.nextCall;
    this.nextCall += 1;
    return new Promise((resolve) => {
      const stopTimer = startStallTolerantTimer(timeoutMs, () => {
        if (isGreeted) this.answersPositions = false;
        this.positionRequests.get(id)?.();
      });
      this.positionRequests.set(id, (answer) => {
        stopTimer();
        this.positionRequests.delete(id);
        resolve(answer);
      });
      this.write({ call: id, bytes: encodeRequest({ case: "positions", value: { group } }, id) });
    });
  }

  /** The number of times that data arrived. */
  get receivedCount(): number {
    return this.dataCount;
  }

  /** Whether the gateway answered that it runs new statements. */
  get isServing(): boolean {
    return this.isGatewayServing;
  }

  /** Asks for a sign of life, which shows in `receivedCount`. */
  ping(): void {
    this.send({ case: "ping", value: true });
  }

  /** Closes the connection unless calls are pending on it. */
  closeIfUnused(): void {
    if (this.calls.size === 0 && this.tokenRequests.size === 0) this.close();
  }

  /** Sends a step that gets no answer. */
  send(step: RequestStep): void {
    this.write({ call: 0, bytes: encodeRequest(step, 0) });
  }

  private write(message: QueuedMessage): void {
    if (this.isGreeted) this.channel.write(message.bytes);
    else this.queued = [...this.queued, message];
  }

  /** Gives up the calls that wait for the greeting if it takes too long; nothing of them was sent. */
  private awaitGreeting(): void {
    const timeoutMs = this.responseTimes.computeTimeoutMs(greetingTimeoutMs);
    this.stopGreetingTimer ??= startStallTolerantTimer(timeoutMs, () => {
      this.stopGreetingTimer = undefined;
      const reason = `no greeting from the gateway within ${timeoutMs} ms`;
      this.queued = [];
      this.handlers.onSlow(reason);
      for (const { settle } of [...this.calls.values()]) {
        settle({ type: "broken", isSent: false, reason });
      }
    });
  }

  /** Closes the connection; pending calls end as `broken`. */
  close(): void {
    this.channel.close("closed by this process");
  }

  private handle({ call, outcome, grantsTokens, load }: GatewayResponse): void {
    this.handleGreeting(grantsTokens);
    if (load !== undefined) this.handlers.onLoad(load);
    switch (outcome.case) {
      case "reply":
        this.calls.get(call)?.settle({ type: "answered", answer: decodeAnswer(outcome.value) });
        return;
      case "turnedAway":
        this.calls.get(call)?.settle({ type: "turnedAway", reason: outcome.value });
        return;
      case "redirect":
        this.calls.get(call)?.settle({
          type: "redirected",
          reason: outcome.value.reason,
          leavesRegion: outcome.value.leavesRegion,
        });
        return;
      case "ping":
        this.send({ case: "pong", value: true });
        return;
      case "tokens":
        this.tokenRequests.get(call)?.({ type: "granted", grant: outcome.value });
        return;
      case "positions":
        this.positionRequests.get(call)?.(outcome.value);
        return;
      case "pong":
        this.isGatewayServing = outcome.value;
        return;
      case undefined:
        return;
    }
  }

  private endTokenRequests(result: TokenResult): void {
    for (const settle of [...this.tokenRequests.values()]) settle(result);
  }

  /** The gateway's first message is its greeting, whatever it is. */
  private handleGreeting(grantsTokens: boolean): void {
    if (this.isGreeted) return;
    this.isGreeted = true;
    this.grantsTokens = grantsTokens;
    if (!grantsTokens) this.endTokenRequests({ type: "unsupported" });
    this.stopTimers();
    this.responseTimes.record(performance.now() - this.openedAt);
    for (const { bytes } of this.queued) this.channel.write(bytes);
    this.queued = [];
    this.liveness.setAwaiting(this.calls.size > 0);
  }

  private stopTimers(): void {
    this.stopConnectTimer();
    this.stopGreetingTimer?.();
  }

  private handleClose(reason: string): void {
    this.stopTimers();
    const isSent = this.isGreeted;
    for (const { settle } of [...this.calls.values()]) settle({ type: "broken", isSent, reason });
    this.endTokenRequests({ type: "silent" });
    for (const settle of [...this.positionRequests.values()]) settle();
    this.liveness.stop();
    this.handlers.onEnd(reason);
  }
}

function encodeRequest(step: RequestStep, call: number): Uint8Array {
  const message: MessageInitShape<typeof GatewayRequestSchema> = { call, step };
  return sizeDelimitedEncode(GatewayRequestSchema, create(GatewayRequestSchema, message));
}
