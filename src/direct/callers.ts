import { directEvents } from "../log/events/direct.js";
import type { LineConnection, LineHandler } from "../lines/index.js";
import { failLocally, type Reply, type SessionState, type Statement } from "../statement/index.js";
import type { GroupDirectory } from "./directory.js";
import type { DirectPorts } from "./ports.js";
import { describeRefusal } from "./pause.js";
import type { WorkRunner } from "./runner.js";
import { digestKey } from "./digest.js";
import { deniedReason, DirectSession } from "./session.js";

/** What a caller's line says. */
export type CallerMessage =
  | { readonly type: "start"; readonly database: string; readonly key: string }
  | { readonly type: "statement"; readonly statement: Statement }
  | { readonly type: "end" }
  /** A statement that can't be read: it is answered, and the session goes on. */
  | { readonly type: "badStatement"; readonly reason: string }
  | { readonly type: "unreadable"; readonly reason: string };

/** How callers' lines are read and answers written. */
export interface CallerCodec {
  parse(line: string): CallerMessage;
  encodeReady(state: SessionState): string;
  /** An error with nothing after it: the connection is closed. */
  encodeFatalError(reply: Reply): string;
  encodeReply(reply: Reply): string;
}

/**
 * How long a caller that opens a session waits for the first configuration, in milliseconds: callers
 * give up after 2 s. After a loss of power while the store is away all wait for its return; refused after
 * 0.5 s they had used up their tries before it.
 */
const configWaitMs = 1500;
const configPollMs = 20;
/** Told when none has come by then: the store is away, and looked for every 250 ms. */
const configRetryMs = 500;
/** Lines of one caller that wait for their turn; beyond it the caller breaks the protocol. */
const maxQueuedLines = 64;

/** The callers of this proxy: one handler and one session for each connection. */
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

  /** Callers whose connection can't be closed without cutting something off. */
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

  /** From now on sessions are closed between two operations. */
  drain(): void {
    this.isDraining = true;
    for (const caller of this.connections) caller.closeIfIdle();
  }

  /** Closes the sessions that are idle now; those that come later stay. */
  closeIdleNow(): void {
    for (const caller of this.connections) caller.closeIfIdle();
  }

  /**
   * Ends what a new configuration no longer allows: sessions whose key was taken away, between two
   * operations, and the transactions that they have open.
   */
  endRevoked(): void {
    for (const caller of this.connections) caller.endIfRevoked();
  }

  /** Ends open transactions, which have had their time. */
  endTransactions(): void {
    for (const caller of this.connections) caller.endTransaction();
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
      this.rejectAndClose(failLocally("malformed", "too many lines at once", "idle"));
      return;
    }
    this.queuedLines.push(line);
    if (!this.isProcessing) void this.processQueue();
  }

  handleUnreadable(reason: "tooLong" | "strayBreak"): void {
    const reply =
      reason === "tooLong"
        ? failLocally("tooLarge", "a line is longer than allowed", "idle")
        : failLocally("malformed", "a line break is not CR LF", "idle");
    this.rejectAndClose(reply);
  }

  handleStall(): void {
    this.rejectAndClose(failLocally("malformed", "half a line came and nothing after it", "idle"));
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

  endTransaction(): void {
    this.session?.endTransaction();
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
      this.rejectAndClose(failLocally("malformed", "the session has begun already", "idle"));
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
      ports.logger.write(directEvents.keyUnknown, { session: id, key: digestKey(key), revision });
      this.rejectAndClose(failLocally("denied", deniedReason, "idle"));
      return;
    }
    this.session = session;
    this.connection.write(codec.encodeReady("idle"));
  }

  /** Right after a start a database is unknown only because no configuration has come yet. */
  private async waitForConfig(): Promise<boolean> {
    const { getServingConfig: scene, clock } = this.options.ports;
    const until = clock.now() + configWaitMs;
    while (scene().revision === 0 && clock.now() < until && !this.isEnded) {
      await clock.sleep(configPollMs);
    }
    return scene().revision > 0;
  }

  private async runStatement(statement: Statement): Promise<void> {
    const { codec } = this.options;
    if (this.session === undefined) {
      this.rejectAndClose(failLocally("malformed", "the session has not begun", "idle"));
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
