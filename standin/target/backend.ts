import type { Node, TransactionStmt } from "libpg-query";
import { setTimeout as sleep } from "node:timers/promises";
import type { Mark } from "../../src/model/index.js";
import type { Control } from "./control.js";
import { makeUnsupported, SqlError } from "./error.js";
import type { Faults, LostAnswer } from "./faults.js";
import type { Member } from "./member.js";
import { SessionSettings } from "./settings.js";
import type { Slots } from "./slots.js";
import {
  describeStatement,
  findSleep,
  isWrite,
  runStatement,
  type Field,
  type Result,
  type Statement,
  type StatementContext,
} from "./sql/index.js";
import type { StatementFate, StatementRecord } from "./statement.js";
import type { Transaction } from "./transaction.js";

/** What the connections of one target share. */
export interface Services {
  readonly member: Member;
  readonly slots: Slots;
  readonly faults: Faults;
  readonly record: StatementRecord;
  readonly control: Control;
  readonly serviceMs: number;
}

/** Thrown after a commit took effect whose answer must not reach the client. */
export class AnswerLost extends Error {
  constructor(readonly how: LostAnswer) {
    super("the answer to a commit was lost on purpose");
  }
}

interface OpenTransaction {
  readonly transaction: Transaction;
  isExplicit: boolean;
  hasFailed: boolean;
  readonly fates: ((fate: StatementFate) => void)[];
}

/** Runs the statements of one connection and keeps its transaction. */
export class Backend {
  private open: OpenTransaction | undefined;
  private readonly settings = new SessionSettings();
  private isKilled = false;
  /** The mark of the connection's last commit that changed something. */
  lastCommit: Mark | undefined;

  constructor(
    private readonly services: Services,
    private readonly connection: number,
  ) {}

  get status(): "I" | "T" | "E" {
    if (this.open?.isExplicit !== true) return "I";
    return this.open.hasFailed ? "E" : "T";
  }

  /** Runs one statement; without BEGIN it stays in an implicit transaction up to `finish`. */
  async run(statement: Statement, parameters: readonly (string | null)[]): Promise<Result> {
    const { node } = statement;
    if ("TransactionStmt" in node) return this.runTransaction(node.TransactionStmt);
    if (this.open?.hasFailed === true) {
      throw new SqlError("25P02", "current transaction is aborted, commands are ignored");
    }
    const context = this.buildContext(parameters);
    const done = this.settings.run(node, context);
    if (done !== undefined) return done;
    const answer = await this.services.control.run(node, context, this);
    return answer ?? (await this.runData(statement, context));
  }

  /** Commits the implicit transaction, if one is open. */
  finish(): void {
    if (this.open?.isExplicit === false) this.commit();
  }

  /** Notes that a statement failed: an implicit transaction is rolled back, an explicit one fails. */
  fail(): void {
    if (this.open?.isExplicit === true) this.open.hasFailed = true;
    else this.cancel();
  }

  /** Rolls back what is open. */
  cancel(): void {
    const { open } = this;
    this.open = undefined;
    for (const tell of open?.fates ?? []) tell({ type: "rolledBack" });
  }

  /** Ends it with the target: what was under way must not commit after the crash. */
  kill(): void {
    this.isKilled = true;
    this.cancel();
  }

  describe(node: Node, parameters: readonly (string | null)[]): readonly Field[] | undefined {
    const context = this.buildContext(parameters);
    const fields = this.services.control.describe(node);
    if (fields !== undefined) return fields;
    if ("VariableShowStmt" in node) return this.settings.run(node, context)?.fields;
    const transaction = this.open?.transaction ?? this.services.member.begin();
    return describeStatement(node, transaction, context);
  }

  private buildContext(parameters: readonly (string | null)[]): StatementContext {
    const now = new Date().toISOString();
    return { parameters, now, isReplica: this.services.member.isReplica };
  }

  private async runData(statement: Statement, context: StatementContext): Promise<Result> {
    const { slots, faults, member, record } = this.services;
    const open = this.begin(false);
    const release = await slots.take();
    try {
      await this.waitService(findSleep(statement.node, context));
      await faults.running.wait();
      this.checkAlive();
      const tell = record.begin(statement.text, this.connection);
      open.fates.push(tell);
      try {
        if (isWrite(statement.node)) member.beginWrite(open.transaction);
        return runStatement(statement.node, open.transaction, context);
      } catch (error) {
        open.fates.pop();
        tell({ type: "failed", state: error instanceof SqlError ? error.state : "XX000" });
        throw error;
      }
    } finally {
      release();
    }
  }

  private checkAlive(): void {
    if (this.isKilled) throw new SqlError("57P02", "the target has crashed");
  }

  private async waitService(extraMs: number): Promise<void> {
    const ms = this.services.serviceMs * this.services.faults.slowFactor + extraMs;
    if (ms > 0) await sleep(ms);
  }

  private begin(isExplicit: boolean): OpenTransaction {
    this.open ??= {
      transaction: this.services.member.begin(),
      isExplicit: false,
      hasFailed: false,
      fates: [],
    };
    if (isExplicit) this.open.isExplicit = true;
    return this.open;
  }

  private runTransaction(statement: TransactionStmt): Result {
    const { kind } = statement;
    if (kind === "TRANS_STMT_BEGIN" || kind === "TRANS_STMT_START") {
      this.begin(true);
      return { rows: [], tag: "BEGIN" };
    }
    if (kind === "TRANS_STMT_COMMIT") return this.runCommit();
    if (kind !== "TRANS_STMT_ROLLBACK") throw makeUnsupported("savepoints and two-phase commit");
    this.cancel();
    return { rows: [], tag: "ROLLBACK" };
  }

  private runCommit(): Result {
    if (this.open?.hasFailed === true) {
      this.cancel();
      return { rows: [], tag: "ROLLBACK" };
    }
    this.commit();
    return { rows: [], tag: "COMMIT" };
  }

  private commit(): void {
    this.checkAlive();
    const { open } = this;
    if (open === undefined) return;
    const mark = this.commitOrCancel(open.transaction);
    this.open = undefined;
    this.tellCommitted(open, mark);
    if (mark !== undefined) this.dropAnswer();
  }

  private commitOrCancel(transaction: Transaction): Mark | undefined {
    try {
      return this.services.member.commit(transaction);
    } catch (error) {
      this.cancel();
      throw error;
    }
  }

  private tellCommitted(open: OpenTransaction, mark: Mark | undefined): void {
    this.lastCommit = mark ?? this.lastCommit;
    const fate: StatementFate =
      mark === undefined ? { type: "committed" } : { type: "committed", mark };
    for (const tell of open.fates) tell(fate);
  }

  private dropAnswer(): void {
    const how = this.services.faults.takeLostAnswer();
    if (how !== undefined) throw new AnswerLost(how);
  }
}
