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

/** The dependencies of a `BatchRunner`. */
export interface RunnerOptions {
  readonly chain: Next<RequestContext>;
  readonly gateway: GroupGateway;
  readonly limits: SessionLimits;
  readonly tokenKeys: () => readonly TokenKey[];
  readonly createId: () => string;
  readonly logger: Logger;
}

/** Runs the batches of one session one after the other, each up to its `ReadyForQuery`. */
export class BatchRunner {
  private readonly session: CallerSession;
  private transaction: TransactionState = noTransaction;
  /** Whether an error before a `Flush` makes the runner skip messages up to the `Sync`. */
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

  /** Whether an interactive transaction is open, or aborted and not yet ended by the caller. */
  get isInTransaction(): boolean {
    return this.transaction.type !== "none";
  }

  /** Runs one batch. False if the connection must be closed. Throws `ProtocolError`. */
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

  /** Cancels the request in flight, if there is one. */
  cancel(): void {
    if (this.inFlight === undefined) return;
    this.isCancelled = true;
    this.inFlight.abort.abort(new Error("cancelled by the caller"));
  }

  /**
   * Handles the loss of the caller's connection. A read in flight is aborted and releases its slot.
   * A write runs on, so that its result does not depend on when the connection broke.
   */
  handleDisconnect(): void {
    const canAbort = this.isInTransaction || this.inFlight?.isWrite === false;
    if (canAbort) this.inFlight?.abort.abort(new Error("the caller has disconnected"));
    if (this.inFlight === undefined) this.close();
  }

  /** Rolls back the open transaction. */
  close(): void {
    if (this.transaction.type === "open") this.transaction.conversation.close();
    this.transaction = noTransaction;
  }

  /** Signs a token of the session's current state. */
  signToken(): string {
    return this.session.signToken();
  }

  private skipAfterError(batch: Batch): boolean {
    if (!this.isSkippingToSync) return false;
    // PostgreSQL also skips a Query: otherwise it would answer twice before one ReadyForQuery.
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
    // The target's own error was already sent; the caller would take a second one for its next answer.
    if (relay.hasFailed) return this.finishFailedBatch(batch);
    return this.sendFailure(batch, this.createFailureError(outcome));
  }

  private createFailureError(outcome: Extract<Outcome, { type: "failed" }>): CallerError {
    const error = createVerdictError(outcome.verdict, outcome.message);
    // The cancel code is only used if nothing changed; a write may have been applied.
    const hasNoEffect = outcome.verdict.type === "notRun" || this.inFlight?.isWrite === false;
    return this.isCancelled && hasNoEffect ? { ...error, code: sqlStates.queryCancelled } : error;
  }

  /** Answers with an error raised by the proxy. As at a target, it aborts an open transaction. */
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
    const message = "the answer did not match the request";
    const { protocolViolation: code } = sqlStates;
    void this.output.write(encodeError({ severity: "FATAL", code, message }));
    return false;
  }
}

function isFlush(batch: Batch): boolean {
  return batch.type === "extended" && batch.end === "flush";
}
