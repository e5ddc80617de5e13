import { directEvents } from "../log/events/direct.js";
import type { LineConnection, LineHandler } from "../lines/index.js";
import { failLocally, type Reply, type SessionState, type Statement } from "../statement/index.js";
import type { GroupDirectory } from "./directory.js";
import type { DirectPorts } from "./ports.js";
import { describeRefusal } from "./pause.js";
import type { WorkRunner } from "./runner.js";
import { digestKey } from "./digest.js";
import { deniedReason, DirectSession } from "./session.js";

/** A parsed line of a caller. */
export type CallerMessage =
  | { readonly type: "start"; readonly database: string; readonly key: string }
  | { readonly type: "statement"; readonly statement: Statement }
  | { readonly type: "end" }
  /** A malformed statement: it is answered with an error, and the session continues. */
  | { readonly type: "badStatement"; readonly reason: string }
  | { readonly type: "unreadable"; readonly reason: string };

/** Parses callers' lines and encodes the answers. */
export interface CallerCodec {
  parse(line: string): CallerMessage;
  encodeReady(state: SessionState): string;
  /** Encodes an error after which the connection is closed. */
  encodeFatalError(reply: Reply): string;
  encodeReply(reply: Reply): string;
}

/**
 * How long a caller that opens a session waits for the first configuration, in milliseconds. Callers give up
 * after 2 s. After a power loss while the store is unavailable all callers wait for the store; when refused
 * after 0.5 s, they use up their attempts before it returns.
 */
const configWaitMs = 1500;
const configPollMs = 20;
/** The retry hint if no configuration has arrived by then. An unavailable store is polled every 250 ms. */
const configRetryMs = 500;
/** The largest number of queued lines of one caller; more are a protocol violation. */
const maxQueuedLines = 64;

/** Accepts the connections of callers. Each has its own handler and session. */
export class CallerRegistry {
  private readonly connections = new Set<CallerConnection>();
  private nextSession = 1;
  private nextAttempt = 1;
  private isDraining = false;

  constructor(
    private readonly codec: CallerCodec,
    private readonly ports: DirectPorts,
    private readonly groups: GroupDirectory,
    private readonly runner: WorkRunner,
  ) {}

  get size(): number {
    return this.connections.size;
  }

  /** Counts the callers with a statement or transaction in progress. */
  countBusy(): number {
    return [...this.connections].filter((c) => !c.isIdle).length;
  }

  accept(connection: LineConnection): LineHandler {
    const caller = new CallerConnection(connection, {
      codec: this.codec,
      ports: this.ports,
      groups: this.groups,
      runner: this.runner,
      session: `s${this.nextSession}`,
      nextId: () => `t${this.nextAttempt++}`,
      isDraining: () => this.isDraining,
      onClose: () => this.connections.delete(caller),
    });
    this.nextSession += 1;
    this.connections.add(caller);
    return caller;
  }

  /** Closes idle sessions now, and the others as soon as they become idle. */
  drain(): void {
    this.isDraining = true;
    for (const caller of this.connections) caller.closeIfIdle();
  }

  /** Closes the sessions that are idle now; later sessions are not affected. */
  closeIdleNow(): void {
    for (const caller of this.connections) caller.closeIfIdle();
  }

  /**
   * Applies the revocation of keys by a new configuration: rolls back the open transactions of affected
   * sessions, and closes sessions that are no longer allowed once they are idle.
   */
  endRevoked(): void {
    for (const caller of this.connections) caller.endIfRevoked();
  }

  /** Ends all sessions' work when the time for draining is over; see `DirectSession.endWork`. */
  endWork(): void {
    for (const caller of this.connections) caller.endWork();
  }

  /** Refuses the statements that still wait, right before the process ends. */
  cancelWaiting(): void {
    for (const caller of this.connections) caller.cancelWaiting();
  }
}

interface CallerOptions {
  readonly codec: CallerCodec;
  readonly ports: DirectPorts;
  readonly groups: GroupDirectory;
  readonly runner: WorkRunner;
  readonly session: string;
  readonly nextId: () => string;
  readonly isDraining: () => boolean;
  readonly onClose: () => void;
}

class CallerConnection implements LineHandler {
  private session: DirectSession | undefined;
  private readonly queuedLines: string[] = [];
  private isProcessing = false;
  private isEnded = false;

  constructor(
    private readonly connection: LineConnection,
    private readonly options: CallerOptions,
  ) {}

  get isIdle(): boolean {
    return !this.isProcessing && this.queuedLines.length === 0 && (this.session?.isIdle ?? true);
  }

  handleLine(line: string): void {
    if (this.isEnded) return;
    if (this.queuedLines.length >= maxQueuedLines) {
      this.rejectAndClose(
        failLocally("malformed", `more than ${maxQueuedLines} lines are queued`, "idle"),
      );
      return;
    }
    this.queuedLines.push(line);
    if (!this.isProcessing) void this.processQueue();
  }

  handleUnreadable(reason: "tooLong" | "strayBreak"): void {
    const reply =
      reason === "tooLong"
        ? failLocally("tooLarge", "a line exceeds the length limit", "idle")
        : failLocally("malformed", "a line break is not CR LF", "idle");
    this.rejectAndClose(reply);
  }

  handleLineTimeout(): void {
    this.rejectAndClose(failLocally("malformed", "a line was not completed in time", "idle"));
  }

  handleClose(): void {
    this.isEnded = true;
    this.queuedLines.length = 0;
    this.session?.close();
    this.options.onClose();
  }

  closeIfIdle(): void {
    if (!this.isIdle || this.isEnded) return;
    this.end();
  }

  endWork(): void {
    this.session?.endWork();
  }

  cancelWaiting(): void {
    this.session?.cancelWaiting();
  }

  endIfRevoked(): void {
    this.session?.rollbackIfRevoked();
    if (this.session?.isAllowed === false) this.closeIfIdle();
  }

  private async processQueue(): Promise<void> {
    this.isProcessing = true;
    for (let line = this.queuedLines.shift(); line !== undefined; line = this.queuedLines.shift()) {
      await this.handleMessage(line);
    }
    this.isProcessing = false;
    if (this.options.isDraining() || this.session?.isAllowed === false) this.closeIfIdle();
  }

  private async handleMessage(line: string): Promise<void> {
    const { codec } = this.options;
    const message = codec.parse(line);
    switch (message.type) {
      case "start":
        await this.start(message.database, message.key);
        return;
      case "end":
        this.end();
        return;
      case "unreadable":
        this.rejectAndClose(failLocally("malformed", message.reason, "idle"));
        return;
      case "badStatement":
        this.replyMalformed(message.reason);
        return;
      case "statement":
        await this.runStatement(message.statement);
    }
  }

  private async start(database: string, key: string): Promise<void> {
    const { codec, ports, groups, runner, session: id, nextId } = this.options;
    if (this.session !== undefined) {
      this.rejectAndClose(failLocally("malformed", "the session has already started", "idle"));
      return;
    }
    if (!(await this.waitForConfig())) {
      this.rejectAndClose(
        failLocally("busy", describeRefusal("no configuration yet", configRetryMs), "idle"),
      );
      return;
    }
    if (!ports.getServingConfig().databases.has(database)) {
      this.rejectAndClose(failLocally("unknownDatabase", `no database ${database}`, "idle"));
      return;
    }
    const session = new DirectSession({ id, database, key, ports, groups, runner, nextId });
    if (!session.isAllowed) {
      const { revision } = ports.getServingConfig();
      ports.logger.write(directEvents.callerKeyUnknown, {
        session: id,
        key: digestKey(key),
        revision,
      });
      this.rejectAndClose(failLocally("denied", deniedReason, "idle"));
      return;
    }
    this.session = session;
    this.connection.write(codec.encodeReady("idle"));
  }

  /** Waits for the first configuration, without which every database would be unknown right after a start. */
  private async waitForConfig(): Promise<boolean> {
    const { getServingConfig, clock } = this.options.ports;
    const until = clock.now() + configWaitMs;
    while (getServingConfig().revision === 0 && clock.now() < until && !this.isEnded) {
      await clock.sleep(configPollMs);
    }
    return getServingConfig().revision > 0;
  }

  private async runStatement(statement: Statement): Promise<void> {
    const { codec } = this.options;
    if (this.session === undefined) {
      this.rejectAndClose(failLocally("malformed", "the session has not started", "idle"));
      return;
    }
    const reply = await this.session.run(statement);
    if (!this.isEnded) this.connection.write(codec.encodeReply(reply));
  }

  private replyMalformed(reason: string): void {
    const state = this.session?.state;
    if (state === undefined) this.rejectAndClose(failLocally("malformed", reason, "idle"));
    else {
      const reply = failLocally("malformed", reason, state);
      this.connection.write(this.options.codec.encodeReply(reply));
    }
  }

  private rejectAndClose(reply: Reply): void {
    if (this.isEnded) return;
    const { codec, ports, session } = this.options;
    const reason = reply.end.type === "error" ? reply.end.text : "";
    ports.logger.write(directEvents.sessionRefused, { session, reason });
    this.connection.write(codec.encodeFatalError(reply));
    this.end();
  }

  private end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.queuedLines.length = 0;
    this.connection.end();
  }
}
