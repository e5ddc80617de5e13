import type { Socket } from "node:net";
import { TLSSocket, type SecureContext } from "node:tls";
import { callerEvents } from "../log/events/caller.js";
import type { Logger } from "../log/index.js";
import type { Clock } from "../model/index.js";
import type { Session } from "../session/index.js";
import { type Batch, BatchCollector } from "./batch.js";
import { type CallerError, encodeError, sqlStates } from "./errors.js";
import { ProtocolError } from "./frame.js";
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

interface QueuedBatch {
  readonly batch: Batch | { readonly type: "terminate" };
  readonly bytes: number;
}

const maxQueuedBatches = 64;
const maxQueuedBytes = 1024 * 1024;

/** One caller's connection: its start-up, its batches in order, and its end. */
export class CallerConnection implements WireHandlers {
  private wire: Wire;
  private output: Output;
  private runner: BatchRunner | undefined;
  private readonly collector: BatchCollector;
  private readonly queue: QueuedBatch[] = [];
  private queuedBytes = 0;
  private pendingBytes = 0;
  private heldBytes = 0;
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
    const expired = this.findExpired();
    if (expired === undefined) return;
    this.host.logger.write(callerEvents.dropped, { reason: expired.message });
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
    this.lastActiveAt = this.host.clock.now();
    this.host.logger.write(callerEvents.opened, { team: session.team.name, group: session.group });
    const { serverVersion } = this.host;
    const token = this.runner.signToken();
    void this.output.write(encodeGreeting({ serverVersion, applicationName, token, key }));
    this.endIfDrained();
  }

  onMessage(message: Uint8Array): void {
    if (this.isEnding) return;
    this.pendingBytes += message.length;
    const batch =
      message[0] === frontend.terminate
        ? ({ type: "terminate" } as const)
        : this.collector.add(message);
    if (batch === undefined) return;
    this.queue.push({ batch, bytes: this.pendingBytes });
    this.queuedBytes += this.pendingBytes;
    this.pendingBytes = 0;
    if (!this.isWorking) void this.work();
  }

  onBytes(count: number): void {
    this.lastActiveAt = this.host.clock.now();
    this.heldBytes += count;
    if (this.host.countInput(count)) return;
    const message = "all callers together have too many bytes waiting";
    this.end({ severity: "FATAL", code: sqlStates.outOfMemory, message });
  }

  onTaken(): void {
    if (this.queue.length < maxQueuedBatches && this.queuedBytes < maxQueuedBytes) return;
    this.isPaused = true;
    this.socket.pause();
  }

  onViolation(error: ProtocolError): void {
    this.host.logger.write(callerEvents.dropped, { reason: error.message });
    this.end({ severity: "FATAL", code: sqlStates.protocolViolation, message: error.message });
  }

  private async work(): Promise<void> {
    this.isWorking = true;
    try {
      for (let next = this.queue.shift(); next !== undefined; next = this.queue.shift()) {
        if (!(await this.runNext(next))) break;
      }
    } catch (error) {
      this.onViolation(error instanceof ProtocolError ? error : new ProtocolError(String(error)));
    }
    this.isWorking = false;
    this.lastActiveAt = this.host.clock.now();
    if (this.isClosed) this.runner?.close();
    else this.endIfDrained();
  }

  private async runNext({ batch, bytes }: QueuedBatch): Promise<boolean> {
    const canRun = !this.isClosed && !this.isEnding && batch.type !== "terminate";
    const goesOn = canRun && (await this.runner?.run(batch)) === true;
    this.queuedBytes -= bytes;
    this.giveBack(bytes);
    if (goesOn) this.resume();
    else if (!this.isEnding) this.output.end();
    return goesOn;
  }

  private resume(): void {
    if (!this.isPaused || this.queuedBytes > maxQueuedBytes / 2) return;
    this.isPaused = false;
    this.socket.resume();
  }

  private giveBack(bytes: number): void {
    const count = Math.min(bytes, this.heldBytes);
    this.heldBytes -= count;
    this.host.countInput(-count);
  }

  private endIfDrained(): void {
    const isInFlight = this.isWorking || this.queue.length > 0 || this.runner?.isInTransaction;
    if (!this.isDraining || isInFlight === true || this.runner === undefined) return;
    const message = "the proxy is leaving; connect again";
    this.end({ severity: "FATAL", code: sqlStates.adminShutdown, message });
  }

  private handleClose(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.isEnding = true;
    this.wire.detach();
    this.runner?.abandon();
    this.giveBack(this.heldBytes);
    this.host.remove(this);
  }

  private wrapSocket(secureContext: SecureContext): void {
    const plain = this.socket;
    const secure = new TLSSocket(plain, { isServer: true, secureContext });
    secure.on("error", () => plain.destroy());
    secure.on("close", () => plain.destroy());
    this.socket = secure;
  }

  private findExpired(): CallerError | undefined {
    const { limits, clock } = this.host;
    const ms = clock.now() - this.lastActiveAt;
    const expire = (code: string, message: string): CallerError => ({
      severity: "FATAL",
      code,
      message,
    });
    if (
      this.output.blockedMs > limits.writeStallMs ||
      (this.isEnding && ms > limits.writeStallMs)
    ) {
      return expire(sqlStates.idleSession, "the caller does not read its answer");
    }
    if (this.runner === undefined && ms > limits.startupMs) {
      return expire(sqlStates.protocolViolation, "the start-up took too long");
    }
    if (this.isWorking) return undefined;
    if (this.wire.isPartial && ms > limits.messageStallMs) {
      return expire(sqlStates.protocolViolation, "the rest of a message did not come");
    }
    if (this.runner?.isInTransaction === true && ms > limits.idleInTransactionMs) {
      return expire(sqlStates.idleInTransaction, "a transaction was idle for too long");
    }
    const isIdle = ms > limits.idleMs;
    return isIdle ? expire(sqlStates.idleSession, "the session was idle for too long") : undefined;
  }
}
