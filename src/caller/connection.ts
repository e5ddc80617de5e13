import type { Socket } from "node:net";
import { TLSSocket, type SecureContext } from "node:tls";
import { callerEvents } from "../log/events/caller.js";
import type { Logger } from "../log/index.js";
import type { Clock } from "../model/index.js";
import type { Session } from "../session/index.js";
import { BatchCollector } from "./batch.js";
import { type CallerError, describeVerdict, encodeError, sqlStates } from "./errors.js";
import { ProtocolError } from "./frame.js";
import { type ConnectionActivity, findExpired } from "./expiry.js";
import { InputQueue, type QueuedInput, type QueuedItem } from "./input.js";
import type { CallerLimits } from "./limits.js";
import { frontend } from "./message.js";
import { Output } from "./output.js";
import { BatchRunner, type RunnerOptions } from "./runner.js";
import { type BackendKey, encodeGreeting } from "./startup.js";
import { type EarlyRequest, Wire, type WireHandlers } from "./wire.js";

/** A session that may begin, or why it may not. */
export type Welcome =
  | { readonly type: "refused"; readonly error: CallerError }
  | {
      readonly type: "accepted";
      readonly session: Session;
      readonly applicationName: string;
      readonly key: BackendKey;
    };

/** What the server does for its connections. */
export interface ConnectionHost {
  readonly limits: CallerLimits;
  readonly clock: Pick<Clock, "now">;
  readonly logger: Logger;
  readonly runner: RunnerOptions;
  readonly serverVersion: string;
  /** Absent while callers are served without TLS, by an explicit setting. */
  readonly getSecureContext?: () => SecureContext;
  welcome(
    connection: CallerConnection,
    parameters: Readonly<Record<string, string>>,
    isSecure: boolean,
  ): Welcome;
  cancel(processId: number, secret: number): void;
  /** Counts bytes taken in and, below zero, given back. False when all callers hold too many. */
  countInput(bytes: number): boolean;
  remove(connection: CallerConnection): void;
}

/** One caller's connection: its start-up, its batches in order, and its end. */
export class CallerConnection implements WireHandlers {
  private wire: Wire;
  private output: Output;
  private runner: BatchRunner | undefined;
  private readonly collector: BatchCollector;
  private readonly input: InputQueue;
  private lastActiveAt: number;
  private isWorking = false;
  private isPaused = false;
  private isDraining = false;
  private isEnding = false;
  private isClosed = false;

  constructor(
    private socket: Socket,
    private readonly host: ConnectionHost,
  ) {
    const { limits, clock } = host;
    this.input = new InputQueue((bytes) => host.countInput(bytes));
    this.collector = new BatchCollector(limits.maxMessageBytes);
    this.lastActiveAt = clock.now();
    this.output = new Output(socket, clock);
    this.wire = new Wire(socket, this, limits.maxMessageBytes);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.handleClose());
  }

  /** Ends the request in flight at the caller's wish. */
  cancel(): void {
    this.host.logger.write(callerEvents.cancelled);
    this.runner?.cancel();
  }

  /** Ends the connection as soon as nothing is in flight on it. */
  drain(): void {
    this.isDraining = true;
    this.endIfDrained();
  }

  /** Ends the connection with a last word. */
  end(error: CallerError): void {
    if (this.isEnding) return;
    this.isEnding = true;
    this.lastActiveAt = this.host.clock.now();
    this.wire.detach();
    // What the caller still sends is read and dropped: closing over unread bytes resets the
    // connection, and the caller would lose this last message.
    this.socket.resume();
    this.output.end(encodeError(error));
    if (!this.isWorking) this.runner?.close();
  }

  /** Ends the connection at once, with what is in flight. */
  destroy(): void {
    this.socket.destroy();
  }

  /** Ends the connection when it has overstepped a limit in time. */
  checkTime(): void {
    const expired = findExpired(this.describeActivity(), this.host.limits);
    if (expired === undefined) return;
    this.host.logger.write(callerEvents.disconnected, { reason: expired.message });
    const isSilent = this.isEnding || this.output.blockedMs > 0;
    if (isSilent) this.destroy();
    else this.end(expired);
  }

  onEarly(request: EarlyRequest): void {
    const { getSecureContext, limits, clock } = this.host;
    switch (request.type) {
      case "cancel":
        this.host.cancel(request.processId, request.secret);
        this.socket.destroy();
        return;
      case "gss":
        this.socket.write("N");
        break;
      case "ssl":
        this.socket.write(getSecureContext === undefined ? "N" : "S");
        if (getSecureContext !== undefined) this.wrapSocket(getSecureContext());
        break;
    }
    this.output = new Output(this.socket, clock);
    this.wire = new Wire(this.socket, this, limits.maxMessageBytes);
  }

  onStartup(parameters: Readonly<Record<string, string>>): void {
    const welcome = this.host.welcome(this, parameters, this.socket instanceof TLSSocket);
    if (welcome.type === "refused") {
      this.host.logger.write(callerEvents.refused, { ...welcome.error });
      this.end(welcome.error);
      return;
    }
    const { session, applicationName, key } = welcome;
    this.runner = new BatchRunner(session, this.output, this.host.runner);
    this.input.releaseAll();
    this.lastActiveAt = this.host.clock.now();
    this.host.logger.write(callerEvents.opened, { team: session.team.name, group: session.group });
    const { serverVersion } = this.host;
    const token = this.runner.signToken();
    void this.output.write(encodeGreeting({ serverVersion, applicationName, token, key }));
    this.endIfDrained();
  }

  onMessage(message: Uint8Array): void {
    if (this.isEnding) return;
    this.input.addMessage(message.length);
    const batch =
      message[0] === frontend.terminate
        ? ({ type: "terminate" } as const)
        : this.collector.add(message);
    if (batch !== undefined) this.enqueue(batch);
  }

  onBytes(count: number): void {
    // The start-up has one limit in all: a caller could draw it out byte by byte.
    if (this.runner !== undefined) this.lastActiveAt = this.host.clock.now();
    if (this.input.hold(count)) return;
    const message = "all callers together have too many bytes waiting";
    this.endInTurn({ severity: "FATAL", code: sqlStates.outOfMemory, message });
  }

  onTaken(): void {
    if (!this.input.isFull) return;
    this.isPaused = true;
    this.socket.pause();
  }

  onViolation(error: ProtocolError): void {
    this.host.logger.write(callerEvents.disconnected, { reason: error.message });
    const { message } = error;
    this.endInTurn({ severity: "FATAL", code: sqlStates.protocolViolation, message });
  }

  /** Ends the connection once the batches that came before are answered. */
  private endInTurn(error: CallerError): void {
    this.wire.detach();
    if (this.runner === undefined) this.end(error);
    else this.enqueue({ type: "end", error });
  }

  private enqueue(item: QueuedItem): void {
    this.input.push(item);
    if (!this.isWorking) void this.work();
  }

  private async work(): Promise<void> {
    this.isWorking = true;
    try {
      for (let next = this.input.shift(); next !== undefined; next = this.input.shift()) {
        if (!(await this.runNext(next))) break;
      }
    } catch (error) {
      this.endBroken(error);
    }
    this.isWorking = false;
    this.lastActiveAt = this.host.clock.now();
    if (this.isClosed) this.runner?.close();
    else this.endIfDrained();
  }

  private async runNext(next: QueuedInput): Promise<boolean> {
    const goesOn = !this.isClosed && !this.isEnding && (await this.runItem(next.item));
    this.input.release(next);
    if (goesOn) this.resume();
    else if (!this.isEnding) this.output.end();
    return goesOn;
  }

  private async runItem(item: QueuedItem): Promise<boolean> {
    switch (item.type) {
      case "terminate":
        return false;
      case "end":
        this.end(item.error);
        return false;
      case "query":
      case "functionCall":
      case "extended":
        return (await this.runner?.run(item)) === true;
    }
  }

  private endBroken(error: unknown): void {
    const message = error instanceof Error ? error.message : String(error);
    const isOfCaller = error instanceof ProtocolError;
    const event = isOfCaller ? callerEvents.disconnected : callerEvents.proxyFault;
    this.host.logger.write(event, { reason: message });
    const code = isOfCaller ? sqlStates.protocolViolation : sqlStates.internalError;
    this.end({ severity: "FATAL", code, message });
  }

  private resume(): void {
    if (!this.isPaused || !this.input.hasRoom) return;
    this.isPaused = false;
    this.socket.resume();
  }

  private endIfDrained(): void {
    const isInFlight = this.isWorking || !this.input.isEmpty || this.runner?.isInTransaction;
    if (!this.isDraining || isInFlight === true || this.isEnding) return;
    // A request that is on its way to here will not be read.
    const verdict = { type: "notRun", reason: "draining", retryAfterMs: 0 } as const;
    const error = describeVerdict(verdict, "the proxy is leaving; connect again");
    this.end({ ...error, severity: "FATAL" });
  }

  private handleClose(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.isEnding = true;
    this.wire.detach();
    this.runner?.abandon();
    this.input.releaseAll();
    this.host.remove(this);
  }

  private wrapSocket(secureContext: SecureContext): void {
    const plain = this.socket;
    const secure = new TLSSocket(plain, { isServer: true, secureContext });
    secure.on("error", () => plain.destroy());
    secure.on("close", () => plain.destroy());
    this.socket = secure;
  }

  private describeActivity(): ConnectionActivity {
    return {
      state: this.findState(),
      isInTransaction: this.runner?.isInTransaction === true,
      isPartial: this.wire.isPartial,
      quietMs: this.host.clock.now() - this.lastActiveAt,
      blockedMs: this.output.blockedMs,
    };
  }

  private findState(): ConnectionActivity["state"] {
    if (this.isEnding) return "ending";
    if (this.runner === undefined) return "starting";
    return this.isWorking ? "running" : "idle";
  }
}
