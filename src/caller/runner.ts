import type { Next } from "../filter/index.js";
import { callerEvents } from "../log/events/caller.js";
import type { Logger } from "../log/index.js";
import type { Conversation, GroupGateway, Outcome } from "../model/index.js";
import type { Session, SessionLimits, SessionStep, TokenKey } from "../session/index.js";
import { AnswerRelay } from "./answer.js";
import type { Batch } from "./batch.js";
import { type Attempt, findKind, type RequestContext } from "./context.js";
import { type CallerError, createVerdictError, encodeError, sqlStates } from "./errors.js";
import { answerLocally, answerRollback } from "./local.js";
import { encodeReadyForQuery } from "./message.js";
import type { CallerOutput } from "./output.js";
import { type BatchPlan, planBatch } from "./plan.js";
import { CallerSession } from "./caller-session.js";
import {
  getNextTransactionState,
  getTransactionStatus,
  hasTransactionEnd,
  noTransaction,
  type TransactionState,
} from "./transaction.js";

/** What a runner needs from outside. */
export interface RunnerOptions {
  readonly chain: Next<RequestContext>;
  readonly gateway: GroupGateway;
  readonly limits: SessionLimits;
  readonly tokenKeys: () => readonly TokenKey[];
  readonly createId: () => string;
  readonly logger: Logger;
}

/** Runs the batches of one session, one after the other, each to its `ReadyForQuery`. */
export class BatchRunner {
  private readonly session: CallerSession;
  private transaction: TransactionState = noTransaction;
  /** After an error before a `Flush`, messages are passed over up to the `Sync`. */
  private isSkippingToSync = false;
  private inFlight: { readonly abort: AbortController; readonly isWrite: boolean } | undefined;
  private isCancelled = false;

  constructor(
    session: Session,
    private readonly output: CallerOutput,
    private readonly options: RunnerOptions,
  ) {
    this.session = new CallerSession(session, output, options.limits, options.tokenKeys);
  }

  /** Whether an interactive transaction is open. */
  get isInTransaction(): boolean {
    return this.transaction.type !== "none";
  }

  /** Runs one batch. False when the connection can't go on. Throws `ProtocolError`. */
  async run(batch: Batch): Promise<boolean> {
    if (this.skipAfterError(batch)) return true;
    const plan = planBatch(batch, this.session.state, this.options.limits);
    if (plan.type === "refused") return this.failBatch(batch, plan.error);
    const local = answerLocally(plan, this.options.tokenKeys());
    switch (local.type) {
      case "refused":
        return this.failBatch(batch, local.error);
      case "local":
        return this.replyLocally(batch, local.messages, local.steps);
      case "remote":
        return this.transaction.type === "aborted"
          ? this.answerAborted(batch, plan)
          : this.runOnTarget(batch, plan);
    }
  }

  /** The caller wants the request in flight ended. */
  cancel(): void {
    if (this.inFlight === undefined) return;
    this.isCancelled = true;
    this.inFlight.abort.abort(new Error("cancelled by the caller"));
  }

  /**
   * The caller is gone. A read in flight gives its slot back; a write runs on, so that it lands or
   * not by itself rather than by the moment at which a connection broke.
   */
  handleDisconnect(): void {
    const canAbort = this.isInTransaction || this.inFlight?.isWrite === false;
    if (canAbort) this.inFlight?.abort.abort(new Error("the caller has gone"));
    if (this.inFlight === undefined) this.close();
  }

  /** Rolls back what is open. */
  close(): void {
    if (this.transaction.type === "open") this.transaction.conversation.close();
    this.transaction = noTransaction;
  }

  /** The token that the session would take along now. */
  signToken(): string {
    return this.session.signToken();
  }

  private skipAfterError(batch: Batch): boolean {
    if (!this.isSkippingToSync) return false;
    // PostgreSQL passes a Query over as well: it would else answer twice before one ReadyForQuery.
    if (batch.type !== "extended" || batch.end === "flush") return true;
    this.isSkippingToSync = false;
    this.sendReady(batch, getTransactionStatus(this.transaction));
    return true;
  }

  private async runOnTarget(batch: Batch, plan: BatchPlan): Promise<boolean> {
    const { transaction } = this;
    const isOpen = transaction.type === "open";
    const conversation = isOpen ? transaction.conversation : this.openConversation();
    let attempt: Attempt = { conversation, relay: new AnswerRelay(this.output, plan.replies) };
    const beginAttempt = (): Attempt => {
      attempt.conversation.close();
      const relay = new AnswerRelay(this.output, plan.replies);
      return (attempt = { conversation: this.openConversation(), relay });
    };
    const context: RequestContext = {
      id: this.options.createId(),
      session: this.session.state,
      transaction,
      plan,
      attempt,
      ...(isOpen ? {} : { beginAttempt }),
      signal: this.beginRequest(plan, transaction),
    };
    const outcome = await this.options.chain(context);
    return this.finish(batch, context, attempt, outcome);
  }

  private openConversation(): Conversation {
    return this.options.gateway.open(this.session.state.group);
  }

  private beginRequest(plan: BatchPlan, transaction: TransactionState): AbortSignal {
    const abort = new AbortController();
    this.isCancelled = false;
    this.inFlight = { abort, isWrite: transaction.type === "open" || plan.effect === "write" };
    return abort.signal;
  }

  private applySessionSteps(batch: Batch, plan: BatchPlan, relay: AnswerRelay): void {
    this.session.apply(relay.sessionSteps);
    if (batch.type === "query") this.session.apply([{ type: "closeStatement", name: "" }]);
    const isKeyUsed = plan.effect === "write" && plan.statements.some((s) => s.type === "plain");
    if (isKeyUsed) this.session.apply([{ type: "setIdempotencyKey" }]);
  }

  private finish(
    batch: Batch,
    context: RequestContext,
    { conversation, relay }: Attempt,
    outcome: Outcome,
  ): boolean {
    const { plan, transaction } = context;
    const kind = findKind(context, plan);
    const { statements } = plan;
    this.transaction = getNextTransactionState(
      transaction,
      { conversation, statements, kind },
      outcome,
    );
    if (this.transaction.type !== "open") conversation.close();
    this.applySessionSteps(batch, plan, relay);
    const canContinue =
      outcome.type === "answered"
        ? this.finishAnswered(batch, context.id, relay, outcome)
        : this.finishFailed(batch, context.id, relay, outcome);
    this.inFlight = undefined;
    return canContinue;
  }

  private finishAnswered(
    batch: Batch,
    request: string,
    relay: AnswerRelay,
    outcome: Extract<Outcome, { type: "answered" }>,
  ): boolean {
    relay.finish();
    this.options.logger.write(callerEvents.answered, { request, ...outcome.servedBy });
    if (relay.hasMismatch) return this.failConnection();
    this.session.recordMark(outcome.mark);
    if (relay.hasFailed && isFlush(batch)) this.isSkippingToSync = true;
    this.sendReady(batch, getTransactionStatus(this.transaction));
    return true;
  }

  private finishFailed(
    batch: Batch,
    request: string,
    relay: AnswerRelay,
    outcome: Extract<Outcome, { type: "failed" }>,
  ): boolean {
    relay.close();
    this.options.logger.write(callerEvents.failed, { request, ...outcome });
    if (relay.hasMismatch) return this.failConnection();
    // The target's own error has gone out before; a second one would pass for the next answer.
    if (relay.hasFailed) return this.finishFailedBatch(batch);
    return this.sendFailure(batch, this.createFailureError(outcome));
  }

  private createFailureError(outcome: Extract<Outcome, { type: "failed" }>): CallerError {
    const error = createVerdictError(outcome.verdict, outcome.message);
    // What was cancelled and changed nothing is what the caller wanted; a write may have landed.
    const hasNoEffect = outcome.verdict.type === "notRun" || this.inFlight?.isWrite === false;
    return this.isCancelled && hasNoEffect ? { ...error, code: sqlStates.queryCancelled } : error;
  }

  /** Answers an error of this side's own. An open transaction is rolled back, as at a target. */
  private failBatch(batch: Batch, error: CallerError): boolean {
    if (this.transaction.type === "open") {
      this.transaction.conversation.close();
      this.transaction = { type: "aborted" };
    }
    return this.sendFailure(batch, error);
  }

  private answerAborted(batch: Batch, plan: BatchPlan): boolean {
    if (plan.statements.length === 1 && hasTransactionEnd(plan.statements)) {
      this.transaction = noTransaction;
      return this.replyLocally(batch, answerRollback(plan), []);
    }
    return this.sendFailure(batch, {
      severity: "ERROR",
      code: sqlStates.failedTransaction,
      message: "current transaction is aborted, commands ignored until end of transaction block",
    });
  }

  private sendFailure(batch: Batch, error: CallerError): boolean {
    void this.output.write(encodeError(error));
    return this.finishFailedBatch(batch);
  }

  private finishFailedBatch(batch: Batch): boolean {
    if (isFlush(batch)) this.isSkippingToSync = true;
    this.sendReady(batch, getTransactionStatus(this.transaction));
    return true;
  }

  private replyLocally(
    batch: Batch,
    messages: readonly Uint8Array[],
    steps: readonly SessionStep[],
  ): boolean {
    const failure = this.session.apply(steps);
    if (failure !== undefined) {
      const message = `radishwalk setting refused: ${failure}`;
      return this.failBatch(batch, {
        severity: "ERROR",
        code: sqlStates.invalidParameter,
        message,
      });
    }
    for (const message of messages) void this.output.write(message);
    this.sendReady(batch, getTransactionStatus(this.transaction));
    return true;
  }

  private sendReady(batch: Batch, status: "I" | "T" | "E"): void {
    if (!isFlush(batch)) void this.output.write(encodeReadyForQuery(status));
  }

  private failConnection(): false {
    this.close();
    const message = "the answer did not fit the request";
    const { protocolViolation: code } = sqlStates;
    void this.output.write(encodeError({ severity: "FATAL", code, message }));
    return false;
  }
}

function isFlush(batch: Batch): boolean {
  return batch.type === "extended" && batch.end === "flush";
}
