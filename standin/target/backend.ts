import type { DefElem, Node, TransactionStmt } from "libpg-query";
import type { Mark } from "../../src/model/index.js";
import { createUnsupportedError, SqlError } from "./error.js";
import type { AnswerLossMode } from "./faults.js";
import { SessionSettings } from "./settings.js";
import {
  describeStatement,
  type Field,
  type Result,
  type Statement,
  type StatementContext,
} from "./sql/index.js";
import type { StatementOutcome } from "./statement.js";
import type { Transaction } from "./transaction.js";
import { executeInSlot, type Services } from "./execution.js";

/** Thrown after a commit has taken effect when a fault withholds its answer from the client. */
export class AnswerLostError extends Error {
  constructor(readonly mode: AnswerLossMode) {
    super("a fault drops the answer to a commit");
  }
}

interface OpenTransaction {
  readonly transaction: Transaction;
  isExplicit: boolean;
  hasFailed: boolean;
  readonly outcomes: ((outcome: StatementOutcome) => void)[];
}

/** Runs the statements of one connection and holds its open transaction. */
export class Backend {
  private open: OpenTransaction | undefined;
  private readonly settings = new SessionSettings();
  private isKilled = false;
  /** The mark of the connection's last commit that changed data; undefined before the first. */
  lastCommit: Mark | undefined;

  constructor(
    private readonly services: Services,
    private readonly connection: number,
  ) {}

  get status(): "I" | "T" | "E" {
    if (this.open?.isExplicit !== true) return "I";
    return this.open.hasFailed ? "E" : "T";
  }

  /** Runs one statement; without BEGIN its transaction stays open until `commitImplicit`. */
  async run(statement: Statement, parameters: readonly (string | null)[]): Promise<Result> {
    const { node } = statement;
    if ("TransactionStmt" in node) return this.runTransaction(node.TransactionStmt);
    if (this.open?.hasFailed === true) {
      throw new SqlError("25P02", "current transaction is aborted, commands are ignored");
    }
    const context = this.buildContext(parameters);
    const settingResult = this.settings.run(node, context);
    if (settingResult !== undefined) return settingResult;
    const controlResult = await this.services.control.run(node, context, this);
    return controlResult ?? (await this.runData(statement, context));
  }

  /** Commits the implicit transaction, if one is open. */
  commitImplicit(): void {
    if (this.open?.isExplicit === false) this.commit();
  }

  /** After a failed statement: rolls back an implicit transaction, marks an explicit one failed. */
  markFailed(): void {
    if (this.open?.isExplicit === true) this.open.hasFailed = true;
    else this.rollBack();
  }

  /** Rolls the open transaction back, if there is one. */
  rollBack(): void {
    const { open } = this;
    this.open = undefined;
    open?.transaction.end();
    for (const setOutcome of open?.outcomes ?? []) setOutcome({ type: "rolledBack" });
  }

  /** Simulates a crash: statements still running must not commit afterwards. */
  kill(): void {
    this.isKilled = true;
    this.rollBack();
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
    const { transaction, outcomes } = this.begin(false);
    const { result, setOutcome } = await executeInSlot(this.services, {
      statement,
      context,
      transaction,
      connection: this.connection,
      checkAlive: () => this.checkAlive(),
    });
    outcomes.push(setOutcome);
    return result;
  }

  private checkAlive(): void {
    if (this.isKilled) throw new SqlError("57P02", "the target has crashed");
  }

  private begin(isExplicit: boolean): OpenTransaction {
    this.open ??= {
      transaction: this.services.member.begin(),
      isExplicit: false,
      hasFailed: false,
      outcomes: [],
    };
    if (isExplicit) this.open.isExplicit = true;
    return this.open;
  }

  private runTransaction(statement: TransactionStmt): Result {
    const { kind } = statement;
    if (kind === "TRANS_STMT_BEGIN" || kind === "TRANS_STMT_START") {
      this.runBegin(statement);
      return { rows: [], tag: "BEGIN" };
    }
    if (kind === "TRANS_STMT_COMMIT") return this.runCommit();
    if (kind !== "TRANS_STMT_ROLLBACK")
      throw createUnsupportedError("savepoints and two-phase commit");
    this.rollBack();
    return { rows: [], tag: "ROLLBACK" };
  }

  private runBegin({ options = [] }: TransactionStmt): void {
    const { transaction } = this.begin(true);
    const isStrict = options.some((o) => "DefElem" in o && isAboveReadCommitted(o.DefElem));
    if (isStrict) transaction.snapshotOffset = transaction.startOffset;
  }

  private runCommit(): Result {
    if (this.open?.hasFailed === true) {
      this.rollBack();
      return { rows: [], tag: "ROLLBACK" };
    }
    this.commit();
    return { rows: [], tag: "COMMIT" };
  }

  private commit(): void {
    this.checkAlive();
    const { open } = this;
    if (open === undefined) return;
    const mark = this.commitOrRollBack(open.transaction);
    this.open = undefined;
    this.reportCommitted(open, mark);
    if (mark !== undefined) this.dropAnswerOnFault();
  }

  private commitOrRollBack(transaction: Transaction): Mark | undefined {
    try {
      return this.services.member.commit(transaction);
    } catch (error) {
      this.rollBack();
      throw error;
    }
  }

  private reportCommitted(open: OpenTransaction, mark: Mark | undefined): void {
    this.lastCommit = mark ?? this.lastCommit;
    const outcome: StatementOutcome =
      mark === undefined ? { type: "committed" } : { type: "committed", mark };
    for (const setOutcome of open.outcomes) setOutcome(outcome);
  }

  private dropAnswerOnFault(): void {
    const mode = this.services.faults.takeAnswerLoss();
    if (mode !== undefined) throw new AnswerLostError(mode);
  }
}

function isAboveReadCommitted({ defname, arg }: DefElem): boolean {
  if (defname !== "transaction_isolation" || arg === undefined || !("A_Const" in arg)) return false;
  return ["repeatable read", "serializable"].includes(arg.A_Const.sval?.sval ?? "");
}
