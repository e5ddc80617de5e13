import { directEvents } from "../log/events/direct.js";
import type { Mark } from "../model/index.js";
import {
  completeLocally,
  failLocally,
  findEffect,
  type Prepared,
  type Reply,
  type SessionState,
  type Statement,
  type Work,
} from "../statement/index.js";
import type { SessionContext } from "./context.js";
import type { GroupDirectory } from "./directory.js";
import type { DirectPorts, StatementSample } from "./ports.js";
import { watchTransactionIdle } from "./idle.js";
import { identifyCaller, type CallerIdentity } from "./roster.js";
import type { OpenTransaction, WorkRunner } from "./runner.js";
import type { StatementResult } from "./autocommit.js";
import { StatementTrace } from "./trace.js";

/** What a session is opened with. */
export interface SessionOptions {
  readonly id: string;
  readonly database: string;
  /** The word that the caller gave of itself. */
  readonly key: string;
  readonly ports: DirectPorts;
  readonly groups: GroupDirectory;
  readonly runner: WorkRunner;
  readonly nextId: () => string;
}

/** Told to a caller whose key no team holds. */
export const deniedReason = "no team holds this key";

/** What a statement's run knows of its session, or why nothing may run. */
type ContextResult =
  | { readonly type: "found"; readonly context: SessionContext }
  | { readonly type: "refused"; readonly reply: Reply };

/** Values and prepared statements of one session, each; beyond it a caller is refused. */
const maxSessionEntries = 1000;

/**
 * One caller's session: its values, its prepared statements and its transaction. Statements come one
 * after the other; `run` answers each.
 */
export class DirectSession {
  private readonly values = new Map<string, string>();
  private readonly prepared = new Map<string, Prepared>();
  /** The newest commit by group: a route may move the database to another. */
  private readonly lastCommits = new Map<string, Mark>();
  private readonly disconnect = new AbortController();
  private transaction:
    { readonly body: OpenTransaction; readonly context: SessionContext } | undefined;
  private stopIdleWatch: (() => void) | undefined;
  private isRunning = false;

  constructor(private readonly options: SessionOptions) {}

  get state(): SessionState {
    return this.transaction?.body.state ?? "idle";
  }

  /** Whether it is between two operations: closing it cuts nothing off. */
  get isIdle(): boolean {
    return !this.isRunning && this.transaction === undefined;
  }

  /** Whether the caller's key is held by a team, or its database is open to all. */
  get isAllowed(): boolean {
    return this.identify().type !== "unknown";
  }

  /** Runs one statement to its final answer. Never rejects. */
  async run(statement: Statement): Promise<Reply> {
    this.isRunning = true;
    this.stopIdleTimer();
    this.rollbackIfRevoked();
    try {
      return await this.dispatch(statement);
    } finally {
      this.isRunning = false;
      this.rollbackIfRevoked();
      this.startIdleTimer();
    }
  }

  /**
   * Rolls back an open transaction whose team the caller's key stands for no more. Its connection was
   * opened for that team: going on, a caller whose key was taken away would write for it until it ends.
   */
  rollbackIfRevoked(): void {
    const { transaction } = this;
    if (transaction?.body.state !== "transaction" || transaction.body.isRunning) return;
    const identity = this.identify();
    const team = identity.type === "team" ? identity.team.name : undefined;
    if (identity.type !== "unknown" && team === transaction.context.team?.name) return;
    const { ports, id } = this.options;
    ports.logger.write(directEvents.transactionRevoked, { session: id });
    transaction.body.rollback(transaction.context);
  }

  /** Rolls back an open transaction because its time to end is over; the session stays. */
  endTransaction(): void {
    if (this.isRunning) return;
    this.transaction?.body.rollback(this.transaction.context);
  }

  /** The caller has gone: what waits gives up, an open transaction is rolled back. */
  close(): void {
    this.disconnect.abort();
    this.stopIdleTimer();
    const { transaction } = this;
    if (transaction === undefined) return;
    if (!transaction.body.isRunning) transaction.body.rollback(transaction.context);
  }

  private async dispatch(statement: Statement): Promise<Reply> {
    if (this.state === "failed" && statement.type !== "commit" && statement.type !== "rollback") {
      return failLocally("malformed", "the transaction has failed; roll it back", "failed");
    }
    switch (statement.type) {
      case "set":
        return this.setValue(statement.name, statement.value);
      case "prepare":
        return this.prepareStatement(statement.name, statement.prepared);
      case "deallocate":
        return this.deallocate(statement.name);
      case "begin":
        return this.begin(statement.isReadOnly);
      case "rollback":
        return this.rollback();
      case "commit":
        return this.commit(statement.id, statement.text);
      case "access":
        return this.runWork(statement);
      case "execute":
        return this.runPrepared(statement);
    }
  }

  private setValue(name: string, value: string): Reply {
    if (!this.values.has(name) && this.values.size >= maxSessionEntries) {
      return failLocally("tooLarge", "the session has too many values", this.state);
    }
    this.values.set(name, value);
    return completeLocally(this.state);
  }

  private prepareStatement(name: string, prepared: Prepared): Reply {
    if (!this.prepared.has(name) && this.prepared.size >= maxSessionEntries) {
      return failLocally("tooLarge", "the session has too many prepared statements", this.state);
    }
    this.prepared.set(name, prepared);
    return completeLocally(this.state);
  }

  private deallocate(name: string): Reply {
    if (!this.prepared.delete(name)) return this.failUnknownName(name);
    return completeLocally(this.state);
  }

  private failUnknownName(name: string): Reply {
    return failLocally("unknownStatement", `nothing is prepared as ${name}`, this.state);
  }

  private begin(isReadOnly: boolean): Reply {
    if (this.transaction !== undefined) {
      return failLocally("malformed", "a transaction is open already", this.state);
    }
    const found = this.findContext();
    if (found.type === "refused") return found.reply;
    const { context } = found;
    this.transaction = { body: this.options.runner.openTransaction(isReadOnly), context };
    return completeLocally("transaction");
  }

  private rollback(): Reply {
    const { transaction } = this;
    if (transaction === undefined)
      return failLocally("malformed", "no transaction is open", "idle");
    this.transaction = undefined;
    transaction.body.rollback(transaction.context);
    return completeLocally("idle");
  }

  private async commit(id: string, text: string): Promise<Reply> {
    const { transaction } = this;
    if (transaction === undefined)
      return failLocally("malformed", "no transaction is open", "idle");
    const { body, context } = transaction;
    const end = await this.observe(context, id, "commit", (traced, at) =>
      body.commit(traced, id, text, at),
    );
    this.transaction = undefined;
    this.recordCommit(context, end);
    return end.reply;
  }

  private runPrepared(statement: Extract<Statement, { type: "execute" }>): Promise<Reply> {
    const prepared = this.prepared.get(statement.name);
    if (prepared === undefined) return Promise.resolve(this.failUnknownName(statement.name));
    const { id, argument } = statement;
    return this.runWork({ type: "execute", id, prepared, argument });
  }

  private async runWork(work: Work): Promise<Reply> {
    const { transaction } = this;
    if (transaction !== undefined) {
      const { body, context } = transaction;
      const end = await this.observe(context, work.id, findEffect(work), async (traced, at) => ({
        reply: await body.run(traced, work, at),
      }));
      if (this.disconnect.signal.aborted) body.rollback(context);
      return end.reply;
    }
    const found = this.findContext();
    if (found.type === "refused") return found.reply;
    const { context } = found;
    const end = await this.observe(context, work.id, findEffect(work), (traced, at) =>
      this.options.runner.runAutocommit(traced, work, at),
    );
    this.recordCommit(context, end);
    return end.reply;
  }

  /** Runs a statement and notes how it ended, in the log and for the metrics. */
  private async observe(
    context: SessionContext,
    id: string,
    effect: StatementSample["effect"],
    run: (traced: SessionContext, arrivedAt: number) => Promise<StatementResult>,
  ): Promise<StatementResult> {
    const { clock, logger, onStatement } = context.ports;
    const arrivedAt = clock.now();
    const trace = new StatementTrace();
    const end = await run({ ...context, trace }, arrivedAt);
    const ms = Math.round(clock.now() - arrivedAt);
    const { reply } = end;
    const outcome = reply.end.type === "complete" ? "complete" : reply.end.code;
    logger.write(directEvents.answered, {
      id,
      session: context.session,
      database: context.database.name,
      group: context.group.name,
      outcome,
      ms,
      ...trace.describe(),
    });
    onStatement({
      outcome: findOutcome(reply),
      effect,
      role: trace.role,
      group: context.group.name,
      ms,
    });
    return end;
  }

  private recordCommit(context: SessionContext, end: StatementResult): void {
    if (end.commitMark !== undefined) this.lastCommits.set(context.group.name, end.commitMark);
  }

  private identify(): CallerIdentity {
    const { ports, database, key } = this.options;
    const { roster, databases } = ports.getServingConfig();
    return identifyCaller(roster, databases.get(database) ?? {}, key);
  }

  /** What holds for the next transaction or statement: routes and keys may have changed. */
  private findContext(): ContextResult {
    const { ports, database: name, groups, id, nextId } = this.options;
    const database = ports.getServingConfig().databases.get(name);
    const group = database === undefined ? undefined : groups.find(database.group);
    if (database === undefined || group === undefined) {
      return { type: "refused", reply: this.failUnknownDatabase() };
    }
    const identity = this.identify();
    if (identity.type === "unknown") {
      return { type: "refused", reply: failLocally("denied", deniedReason, this.state) };
    }
    const context = {
      ports,
      session: id,
      database,
      team: identity.type === "team" ? identity.team : undefined,
      group,
      values: this.values,
      lastCommit: this.lastCommits.get(group.name),
      disconnectSignal: this.disconnect.signal,
      trace: new StatementTrace(),
      nextId,
    };
    return { type: "found", context };
  }

  private failUnknownDatabase(): Reply {
    const text = `no database ${this.options.database}`;
    return failLocally("unknownDatabase", text, this.state);
  }

  /** A caller that rests inside a transaction holds a connection that others need. */
  private startIdleTimer(): void {
    const { transaction } = this;
    if (transaction?.body.state !== "transaction") return;
    const { ports, id } = this.options;
    this.stopIdleWatch = watchTransactionIdle({
      limitMs: ports.getServingConfig().transactionIdleMs,
      hasWaiters: () => transaction.body.hasWaiters,
      end: (restedMs) => {
        ports.logger.write(directEvents.transactionIdle, { session: id, restedMs });
        transaction.body.rollback(transaction.context);
      },
    });
  }

  private stopIdleTimer(): void {
    this.stopIdleWatch?.();
    this.stopIdleWatch = undefined;
  }
}

function findOutcome(reply: Reply): StatementSample["outcome"] {
  if (reply.end.type === "complete") return "answered";
  const { code } = reply.end;
  if (code === "inDoubt" || code === "timeout") return "mayHaveRun";
  return code === "failed" ? "answered" : "notRun";
}
