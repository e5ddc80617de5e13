import type { Next } from "../filter/index.js";
import { callerEvents } from "../log/events/caller.js";
import type { Logger } from "../log/index.js";
import type { Conversation, GroupGateway, Outcome } from "../model/index.js";
import type { Session, SessionLimits, SessionStep, TokenKey } from "../session/index.js";
import { AnswerRelay } from "./answer.js";
import type { Batch } from "./batch.js";
import { type Attempt, findKind, type RequestContext } from "./context.js";
import { type CallerError, describeVerdict, encodeError, sqlStates } from "./errors.js";
import { answerLocally, answerRollback } from "./local.js";
import { encodeReady } from "./message.js";
import type { Output } from "./output.js";
import { type BatchPlan, planBatch } from "./plan.js";
import { SessionHolder } from "./session-holder.js";
import {
  findNextTransaction,
  findStatus,
  hasEnd,
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
  private readonly session: SessionHolder;
  private transaction: TransactionState = noTransaction;
  /** After an error before a `Flush`, messages are passed over up to the `Sync`. */
  private isSkipping = false;
  private inFlight: { readonly abort: AbortController; readonly isWrite: boolean } | undefined;
  private isCancelled = false;

  constructor(
    session: Session,
    private readonly output: Output,
    private readonly options: RunnerOptions,
  ) {
    this.session = new SessionHolder(session, output, options.limits, options.tokenKeys);
  }

  /** Whether an interactive transaction is open. */
  get isInTransaction(): boolean {
    return this.transaction.type !== "none";
  }

  /** Runs one batch. False when the connection can't go on. Throws `ProtocolError`. */
  async run(batch: Batch): Promise<boolean> {
    if (this.skip(batch)) return true;
    const plan = planBatch(batch, this.session.state, this.options.limits);
    if (plan.type === "refused") return this.fail(batch, plan.error);
    const local = answerLocally(plan, this.options.tokenKeys());
    switch (local.type) {
      case "refused":
        return this.fail(batch, local.error);
      case "local":
        return this.reply(batch, local.messages, local.steps);
      case "remote":
        return this.transaction.type === "aborted"
          ? this.endAborted(batch, plan)
          : this.relay(batch, plan);
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
  abandon(): void {
    const canStop = this.isInTransaction || this.inFlight?.isWrite === false;
    if (canStop) this.inFlight?.abort.abort(new Error("the caller has gone"));
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

  private skip(batch: Batch): boolean {
    if (!this.isSkipping) return false;
    // PostgreSQL passes a Query over as well: it would else answer twice before one ReadyForQuery.
    if (batch.type !== "extended" || batch.end === "flush") return true;
    this.isSkipping = false;
    this.sendReady(batch, findStatus(this.transaction));
    return true;
  }

  private async relay(batch: Batch, plan: BatchPlan): Promise<boolean> {
    const { transaction } = this;
    const isOpen = transaction.type === "open";
    const conversation = isOpen ? transaction.conversation : this.open();
    let attempt: Attempt = { conversation, relay: new AnswerRelay(this.output, plan.replies) };
    const beginAttempt = (): Attempt => {
      attempt.conversation.close();
      const relay = new AnswerRelay(this.output, plan.replies);
      return (attempt = { conversation: this.open(), relay });
    };
    const context: RequestContext = {
      id: this.options.createId(),
      session: this.session.state,
      transaction,
      plan,
      attempt,
      ...(isOpen ? {} : { beginAttempt }),
      signal: this.begin(plan, transaction),
    };
    const outcome = await this.options.chain(context);
    return this.finish(batch, context, attempt, outcome);
  }

  private open(): Conversation {
    return this.options.gateway.open(this.session.state.group);
  }

  private begin(plan: BatchPlan, transaction: TransactionState): AbortSignal {
    const abort = new AbortController();
    this.isCancelled = false;
    this.inFlight = { abort, isWrite: transaction.type === "open" || plan.effect === "write" };
    return abort.signal;
  }

  private finishSteps(batch: Batch, plan: BatchPlan, relay: AnswerRelay): void {
    this.session.apply(relay.steps);
    if (batch.type === "query") this.session.apply([{ type: "closeStatement", name: "" }]);
    const usesKey = plan.effect === "write" && plan.statements.some((s) => s.type === "plain");
    if (usesKey) this.session.apply([{ type: "setIdempotencyKey" }]);
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
    this.transaction = findNextTransaction(
      transaction,
      { conversation, statements, kind },
      outcome,
    );
    if (this.transaction.type !== "open") conversation.close();
    this.finishSteps(batch, plan, relay);
    const goesOn =
      outcome.type === "answered"
        ? this.finishAnswered(batch, context.id, relay, outcome)
        : this.finishFailed(batch, context.id, relay, outcome);
    this.inFlight = undefined;
    return goesOn;
  }

  private finishAnswered(
    batch: Batch,
    request: string,
    relay: AnswerRelay,
    outcome: Extract<Outcome, { type: "answered" }>,
  ): boolean {
    relay.finish();
    this.options.logger.write(callerEvents.answered, { request, ...outcome.servedBy });
    if (relay.isBroken) return this.breakOff();
    this.session.see(outcome.mark);
    if (relay.hasFailed && isFlush(batch)) this.isSkipping = true;
    this.sendReady(batch, findStatus(this.transaction));
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
    if (relay.isBroken) return this.breakOff();
    // The target's own error has gone out before; a second one would pass for the next answer.
    if (relay.hasFailed) return this.endFailed(batch);
    return this.sendFailure(batch, this.describeFailure(outcome));
  }

  private describeFailure(outcome: Extract<Outcome, { type: "failed" }>): CallerError {
    const error = describeVerdict(outcome.verdict, outcome.message);
    // What was cancelled and changed nothing is what the caller wanted; a write may have landed.
    const isHarmless = outcome.verdict.type === "notRun" || this.inFlight?.isWrite === false;
    return this.isCancelled && isHarmless ? { ...error, code: sqlStates.queryCancelled } : error;
  }

  /** Answers an error of this side's own. An open transaction is rolled back, as at a target. */
  private fail(batch: Batch, error: CallerError): boolean {
    if (this.transaction.type === "open") {
      this.transaction.conversation.close();
      this.transaction = { type: "aborted" };
    }
    return this.sendFailure(batch, error);
  }

  private endAborted(batch: Batch, plan: BatchPlan): boolean {
    if (plan.statements.length === 1 && hasEnd(plan.statements)) {
      this.transaction = noTransaction;
      return this.reply(batch, answerRollback(plan), []);
    }
    return this.sendFailure(batch, {
      severity: "ERROR",
      code: sqlStates.failedTransaction,
      message: "current transaction is aborted, commands ignored until end of transaction block",
    });
  }

  private sendFailure(batch: Batch, error: CallerError): boolean {
    void this.output.write(encodeError(error));
    return this.endFailed(batch);
  }

  private endFailed(batch: Batch): boolean {
    if (isFlush(batch)) this.isSkipping = true;
    this.sendReady(batch, findStatus(this.transaction));
    return true;
  }

  private reply(
    batch: Batch,
    messages: readonly Uint8Array[],
    steps: readonly SessionStep[],
  ): boolean {
    const failure = this.session.apply(steps);
    if (failure !== undefined) {
      const message = `radishwalk setting refused: ${failure}`;
      return this.fail(batch, { severity: "ERROR", code: sqlStates.invalidParameter, message });
    }
    for (const message of messages) void this.output.write(message);
    this.sendReady(batch, findStatus(this.transaction));
    return true;
  }

  private sendReady(batch: Batch, status: "I" | "T" | "E"): void {
    if (!isFlush(batch)) void this.output.write(encodeReady(status));
  }

  private breakOff(): false {
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
