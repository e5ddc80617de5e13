import { directEvents } from "../log/events/direct.js";
import type { Mark } from "../model/index.js";
import {
  completeLocally,
  failLocally,
  findEffect,
  type PreparedDefinition,
  type Reply,
  type SessionState,
  type Statement,
  type Work,
} from "../statement/index.js";
import type { SessionContext } from "./context.js";
import type { GroupDirectory } from "./directory.js";
import type { DirectPorts, StatementSample } from "./ports.js";
import { watchTransactionIdle } from "./idle.js";
import { observeObjective } from "./levels.js";
import { describeRefusal } from "./pause.js";
import { identifyCaller, type CallerIdentity } from "./roster.js";
import type { OpenTransaction, WorkRunner } from "./runner.js";
import type { StatementResult } from "./autocommit.js";
import { StatementTrace } from "./trace.js";

/** The parameters and dependencies of a session. */
export interface SessionOptions {
  readonly id: string;
  readonly database: string;
  /** The key that the caller identified itself with. */
  readonly key: string;
  readonly ports: DirectPorts;
  readonly groups: GroupDirectory;
  readonly runner: WorkRunner;
  readonly nextId: () => string;
}

/** The error text for a caller whose key no team holds. */
export const deniedReason = "no team holds this key";

/** Why statements are refused and an open transaction is rolled back at the end of a drain. */
const leavingReason = "this node is shutting down";
/** Other nodes take callers at once, in milliseconds. */
const leavingRetryMs = 0;

/** The context for running a statement, or the refusal if none may run. */
type ContextResult =
  | { readonly type: "found"; readonly context: SessionContext }
  | { readonly type: "refused"; readonly reply: Reply };

/** The largest number of values, and of prepared statements, in one session. */
const maxSessionEntries = 1000;

/**
 * One caller's session: its values, prepared statements and transaction. Statements run one at a time;
 * don't call `run` before the previous call has finished.
 */
export class DirectSession {
  private readonly values = new Map<string, string>();
  private readonly prepared = new Map<string, PreparedDefinition>();
  /** The latest acknowledged commit by group, as a route may move the database to another group. */
  private readonly lastCommits = new Map<string, Mark>();
  private readonly disconnect = new AbortController();
  private transaction:
    { readonly handle: OpenTransaction; readonly context: SessionContext } | undefined;
  private stopIdleWatch: (() => void) | undefined;
  private isRunning = false;
  /** Whether the time for draining is over. */
  private isEnding = false;
  /** Whether an open transaction was rolled back for that and the caller has not been told yet. */
  private hasUntoldEnd = false;

  constructor(private readonly options: SessionOptions) {}

  get state(): SessionState {
    return this.transaction?.handle.state ?? "idle";
  }

  /** Whether no statement or transaction is in progress, so that closing it interrupts nothing. */
  get isIdle(): boolean {
    return !this.isRunning && this.transaction === undefined;
  }

  /** Whether the caller's key is held by a team, or the configuration allows anonymous callers. */
  get isAllowed(): boolean {
    return this.identify().type !== "unknown";
  }

  /** Runs one statement and returns its final answer. Never rejects. */
  async run(statement: Statement): Promise<Reply> {
    this.isRunning = true;
    this.stopIdleTimer();
    this.rollbackIfRevoked();
    try {
      return await this.dispatch(statement);
    } finally {
      this.isRunning = false;
      if (this.isEnding) this.endTransaction();
      this.rollbackIfRevoked();
      this.startIdleTimer();
    }
  }

  /**
   * Rolls back an open transaction if the caller's key no longer identifies its team. Its connection was
   * opened for that team, so a caller whose key was revoked could otherwise write for the team until the
   * transaction ends.
   */
  rollbackIfRevoked(): void {
    const { transaction } = this;
    if (transaction?.handle.state !== "transaction" || transaction.handle.isRunning) return;
    const identity = this.identify();
    const team = identity.type === "team" ? identity.team.name : undefined;
    if (identity.type !== "unknown" && team === transaction.context.team?.name) return;
    const { ports, id } = this.options;
    ports.logger.write(directEvents.transactionRevoked, { session: id });
    transaction.handle.rollback(transaction.context);
  }

  /**
   * Ends the session's work when the time for draining is over: rolls back an open transaction, after the statement that
   * runs in it, and refuses later statements. The session stays open, so that its caller gets these answers.
   */
  endWork(): void {
    this.isEnding = true;
    if (!this.isRunning) this.endTransaction();
  }

  /** Refuses a statement that still waits for a connection or slot, right before the process ends. */
  cancelWaiting(): void {
    this.disconnect.abort();
  }

  /** Handles the caller's disconnection: cancels waiting statements and rolls back an open transaction. */
  close(): void {
    this.disconnect.abort();
    this.stopIdleTimer();
    const { transaction } = this;
    if (transaction === undefined) return;
    if (!transaction.handle.isRunning) transaction.handle.rollback(transaction.context);
  }

  private async dispatch(statement: Statement): Promise<Reply> {
    if (this.state === "failed" && statement.type !== "commit" && statement.type !== "rollback") {
      return this.failInFailed();
    }
    if (this.isEnding && this.transaction === undefined && runsAtTarget(statement)) {
      return failLocally("busy", describeRefusal(leavingReason, leavingRetryMs), this.state);
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

  private endTransaction(): void {
    const { transaction } = this;
    if (transaction?.handle.state !== "transaction") return;
    transaction.handle.rollback(transaction.context);
    this.hasUntoldEnd = true;
  }

  /** Fails a statement in a failed transaction. The first one after its end at a drain promises that nothing is kept. */
  private failInFailed(): Reply {
    if (!this.hasUntoldEnd)
      return failLocally("malformed", "the transaction has failed; roll it back", "failed");
    this.hasUntoldEnd = false;
    return failLocally("aborted", `rolled back: ${leavingReason}`, "failed");
  }

  private setValue(name: string, value: string): Reply {
    if (!this.values.has(name) && this.values.size >= maxSessionEntries) {
      return failLocally(
        "tooLarge",
        `the session has more than ${maxSessionEntries} values`,
        this.state,
      );
    }
    this.values.set(name, value);
    return completeLocally(this.state);
  }

  private prepareStatement(name: string, prepared: PreparedDefinition): Reply {
    if (!this.prepared.has(name) && this.prepared.size >= maxSessionEntries) {
      return failLocally(
        "tooLarge",
        `the session has more than ${maxSessionEntries} prepared statements`,
        this.state,
      );
    }
    this.prepared.set(name, prepared);
    return completeLocally(this.state);
  }

  private deallocate(name: string): Reply {
    if (!this.prepared.delete(name)) return this.failUnknownName(name);
    return completeLocally(this.state);
  }

  private failUnknownName(name: string): Reply {
    return failLocally("unknownStatement", `prepared statement ${name} does not exist`, this.state);
  }

  private begin(isReadOnly: boolean): Reply {
    if (this.transaction !== undefined) {
      return failLocally("malformed", "a transaction is already open", this.state);
    }
    const contextResult = this.findContext();
    if (contextResult.type === "refused") return contextResult.reply;
    const { context } = contextResult;
    this.transaction = { handle: this.options.runner.openTransaction(isReadOnly), context };
    return completeLocally("transaction");
  }

  private rollback(): Reply {
    const { transaction } = this;
    if (transaction === undefined)
      return failLocally("malformed", "no transaction is open", "idle");
    this.transaction = undefined;
    transaction.handle.rollback(transaction.context);
    return completeLocally("idle");
  }

  private async commit(id: string, text: string): Promise<Reply> {
    const { transaction } = this;
    if (transaction === undefined)
      return failLocally("malformed", "no transaction is open", "idle");
    const { handle, context } = transaction;
    const end = await this.observe(context, id, "commit", (traced, at) =>
      handle.commit(traced, id, text, at),
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
      const { handle, context } = transaction;
      const end = await this.observe(context, work.id, findEffect(work), async (traced, at) => ({
        reply: await handle.run(traced, work, at),
      }));
      if (this.disconnect.signal.aborted) handle.rollback(context);
      return end.reply;
    }
    const contextResult = this.findContext();
    if (contextResult.type === "refused") return contextResult.reply;
    const { context } = contextResult;
    const end = await this.observe(context, work.id, findEffect(work), (traced, at) =>
      this.options.runner.runAutocommit(traced, work, at),
    );
    this.recordCommit(context, end);
    return end.reply;
  }

  /** Runs a statement and records its outcome in the log and the metrics. */
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
      ...observeObjective(context.database.action, reply, ms),
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

  /** Determines the context anew for each statement or transaction, as routes and keys may have changed. */
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

  /** Limits the idle time inside a transaction, which holds a connection that others may need. */
  private startIdleTimer(): void {
    const { transaction } = this;
    if (transaction?.handle.state !== "transaction") return;
    const { ports, id } = this.options;
    this.stopIdleWatch = watchTransactionIdle({
      limitMs: ports.getServingConfig().transactionIdleMs,
      hasWaiters: () => transaction.handle.hasWaiters,
      end: (restedMs) => {
        ports.logger.write(directEvents.transactionIdle, { session: id, restedMs });
        transaction.handle.rollback(transaction.context);
      },
    });
  }

  private stopIdleTimer(): void {
    this.stopIdleWatch?.();
    this.stopIdleWatch = undefined;
  }
}

/** Whether a statement begins work at a target, unlike those that this process answers by itself. */
function runsAtTarget({ type }: Statement): boolean {
  return type === "begin" || type === "access" || type === "execute";
}

function findOutcome(reply: Reply): StatementSample["outcome"] {
  if (reply.end.type === "complete") return "answered";
  const { code } = reply.end;
  if (code === "inDoubt" || code === "timeout") return "mayHaveRun";
  return code === "failed" ? "answered" : "notRun";
}
