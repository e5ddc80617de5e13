import type { Socket } from "node:net";
import { TLSSocket, type SecureContext } from "node:tls";
import { callerEvents } from "../log/events/caller.js";
import type { Logger } from "../log/index.js";
import type { Clock } from "../model/index.js";
import type { Session } from "../session/index.js";
import { BatchCollector } from "./batch.js";
import { type CallerError, createVerdictError, encodeError, sqlStates } from "./errors.js";
import { ProtocolError } from "./frame.js";
import { type ConnectionActivity, findTimeoutError } from "./timeouts.js";
import { InputQueue, type QueuedInput, type QueuedItem } from "./input.js";
import type { CallerLimits } from "./limits.js";
import { frontendTypes } from "./message.js";
import { CallerOutput } from "./output.js";
import { BatchRunner, type RunnerOptions } from "./runner.js";
import { type BackendKey, encodeStartupReply } from "./startup.js";
import {
  type PreStartupRequest,
  ProtocolReader,
  type ProtocolHandlers,
} from "./protocol-reader.js";

/** The session that a start-up message opens, or the error that refuses it. */
export type StartupResult =
  | { readonly type: "refused"; readonly error: CallerError }
  | {
      readonly type: "accepted";
      readonly session: Session;
      readonly applicationName: string;
      readonly key: BackendKey;
    };

/** Settings and operations that the server provides to its connections. */
export interface ConnectionHost {
  readonly limits: CallerLimits;
  readonly clock: Pick<Clock, "now">;
  readonly logger: Logger;
  readonly runner: RunnerOptions;
  readonly serverVersion: string;
  /** Absent if an explicit setting turns TLS off. */
  readonly getSecureContext?: () => SecureContext;
  startSession(
    connection: CallerConnection,
    parameters: Readonly<Record<string, string>>,
    isSecure: boolean,
  ): StartupResult;
  cancel(processId: number, secret: number): void;
  /**
   * Adds to the bytes that all callers have waiting; negative when they are released. False when
   * the sum is over the limit.
   */
  countInputBytes(bytes: number): boolean;
  remove(connection: CallerConnection): void;
}

/** One caller's connection: handles its start-up, runs its batches in order, and closes it. */
export class CallerConnection implements ProtocolHandlers {
  private reader: ProtocolReader;
  private output: CallerOutput;
  private runner: BatchRunner | undefined;
  private readonly collector: BatchCollector;
  private readonly input: InputQueue;
  private lastActiveAt: number;
  private isProcessing = false;
  private isPaused = false;
  private isDraining = false;
  private isClosing = false;
  private isClosed = false;

  constructor(
    private socket: Socket,
    private readonly host: ConnectionHost,
  ) {
    const { limits, clock } = host;
    this.input = new InputQueue((bytes) => host.countInputBytes(bytes));
    this.collector = new BatchCollector(limits.maxMessageBytes);
    this.lastActiveAt = clock.now();
    this.output = new CallerOutput(socket, clock);
    this.reader = new ProtocolReader(socket, this, limits.maxMessageBytes);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.handleClose());
  }

  /** Cancels the request in flight, as the caller asked. */
  cancel(): void {
    this.host.logger.write(callerEvents.cancelled);
    this.runner?.cancel();
  }

  /** Closes the connection as soon as no request or transaction is in flight. */
  drain(): void {
    this.isDraining = true;
    this.closeIfDrained();
  }

  /** Sends `error` and closes the connection. */
  closeWithError(error: CallerError): void {
    if (this.isClosing) return;
    this.isClosing = true;
    this.lastActiveAt = this.host.clock.now();
    this.reader.detach();
    // Keeps reading and discards the input: closing a socket with unread bytes resets the
    // connection, and the caller would lose this error.
    this.socket.resume();
    this.output.end(encodeError(error));
    if (!this.isProcessing) this.runner?.close();
  }

  /** Closes the connection at once, also with a request in flight. */
  destroy(): void {
    this.socket.destroy();
  }

  /** Closes the connection if it has exceeded one of its time limits. */
  checkTimeouts(): void {
    const timeoutError = findTimeoutError(this.getActivity(), this.host.limits);
    if (timeoutError === undefined) return;
    this.host.logger.write(callerEvents.disconnected, { reason: timeoutError.message });
    const isUnresponsive = this.isClosing || this.output.writeBlockedMs > 0;
    if (isUnresponsive) this.destroy();
    else this.closeWithError(timeoutError);
  }

  onPreStartupRequest(request: PreStartupRequest): void {
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
        if (getSecureContext !== undefined) this.startTls(getSecureContext());
        break;
    }
    this.output = new CallerOutput(this.socket, clock);
    this.reader = new ProtocolReader(this.socket, this, limits.maxMessageBytes);
  }

  onStartup(parameters: Readonly<Record<string, string>>): void {
    const result = this.host.startSession(this, parameters, this.socket instanceof TLSSocket);
    if (result.type === "refused") {
      this.host.logger.write(callerEvents.refused, { ...result.error });
      this.closeWithError(result.error);
      return;
    }
    const { session, applicationName, key } = result;
    this.runner = new BatchRunner(session, this.output, this.host.runner);
    this.input.releaseAll();
    this.lastActiveAt = this.host.clock.now();
    this.host.logger.write(callerEvents.opened, { team: session.team.name, group: session.group });
    const { serverVersion } = this.host;
    const token = this.runner.signToken();
    void this.output.write(encodeStartupReply({ serverVersion, applicationName, token, key }));
    this.closeIfDrained();
  }

  onMessage(message: Uint8Array): void {
    if (this.isClosing) return;
    this.input.addMessage(message.length);
    const batch =
      message[0] === frontendTypes.terminate
        ? ({ type: "terminate" } as const)
        : this.collector.add(message);
    if (batch !== undefined) this.enqueue(batch);
  }

  onBytesReceived(count: number): void {
    // The start-up has a single limit: otherwise a caller could prolong it by sending single bytes.
    if (this.runner !== undefined) this.lastActiveAt = this.host.clock.now();
    if (this.input.addReceivedBytes(count)) return;
    const message = "the requests waiting from all callers are too large";
    this.closeAfterQueuedInput({ severity: "FATAL", code: sqlStates.outOfMemory, message });
  }

  onChunkProcessed(): void {
    if (!this.input.isFull) return;
    this.isPaused = true;
    this.socket.pause();
  }

  onProtocolError(error: ProtocolError): void {
    this.host.logger.write(callerEvents.disconnected, { reason: error.message });
    const { message } = error;
    this.closeAfterQueuedInput({ severity: "FATAL", code: sqlStates.protocolViolation, message });
  }

  /** Closes the connection with `error` once the batches received before are answered. */
  private closeAfterQueuedInput(error: CallerError): void {
    this.reader.detach();
    if (this.runner === undefined) this.closeWithError(error);
    else this.enqueue({ type: "end", error });
  }

  private enqueue(item: QueuedItem): void {
    this.input.push(item);
    if (!this.isProcessing) void this.processInput();
  }

  private async processInput(): Promise<void> {
    this.isProcessing = true;
    try {
      for (let next = this.input.shift(); next !== undefined; next = this.input.shift()) {
        if (!(await this.runNext(next))) break;
      }
    } catch (error) {
      this.closeAfterException(error);
    }
    this.isProcessing = false;
    this.lastActiveAt = this.host.clock.now();
    if (this.isClosed) this.runner?.close();
    else this.closeIfDrained();
  }

  private async runNext(next: QueuedInput): Promise<boolean> {
    const canContinue = !this.isClosed && !this.isClosing && (await this.runItem(next.item));
    this.input.release(next);
    if (canContinue) this.resumeReading();
    else if (!this.isClosing) this.output.end();
    return canContinue;
  }

  private async runItem(item: QueuedItem): Promise<boolean> {
    switch (item.type) {
      case "terminate":
        return false;
      case "end":
        this.closeWithError(item.error);
        return false;
      case "query":
      case "functionCall":
      case "extended":
        return (await this.runner?.run(item)) === true;
    }
  }

  private closeAfterException(error: unknown): void {
    const message = error instanceof Error ? error.message : String(error);
    const isCallerFault = error instanceof ProtocolError;
    const event = isCallerFault ? callerEvents.disconnected : callerEvents.proxyFault;
    this.host.logger.write(event, { reason: message });
    const code = isCallerFault ? sqlStates.protocolViolation : sqlStates.internalError;
    this.closeWithError({ severity: "FATAL", code, message });
  }

  private resumeReading(): void {
    if (!this.isPaused || !this.input.canResume) return;
    this.isPaused = false;
    this.socket.resume();
  }

  private closeIfDrained(): void {
    const isInFlight = this.isProcessing || !this.input.isEmpty || this.runner?.isInTransaction;
    if (!this.isDraining || isInFlight === true || this.isClosing) return;
    // A request that the caller has already sent is not read, so it has not run.
    const verdict = { type: "notRun", reason: "draining", retryAfterMs: 0 } as const;
    const error = createVerdictError(verdict, "the proxy is shutting down; connect again");
    this.closeWithError({ ...error, severity: "FATAL" });
  }

  private handleClose(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.isClosing = true;
    this.reader.detach();
    this.runner?.handleDisconnect();
    this.input.releaseAll();
    this.host.remove(this);
  }

  private startTls(secureContext: SecureContext): void {
    const plain = this.socket;
    const secure = new TLSSocket(plain, { isServer: true, secureContext });
    secure.on("error", () => plain.destroy());
    secure.on("close", () => plain.destroy());
    this.socket = secure;
  }

  private getActivity(): ConnectionActivity {
    return {
      state: this.getState(),
      isInTransaction: this.runner?.isInTransaction === true,
      hasPartialMessage: this.reader.isPartial,
      inactiveMs: this.host.clock.now() - this.lastActiveAt,
      writeBlockedMs: this.output.writeBlockedMs,
    };
  }

  private getState(): ConnectionActivity["state"] {
    if (this.isClosing) return "closing";
    if (this.runner === undefined) return "starting";
    return this.isProcessing ? "running" : "idle";
  }
}
