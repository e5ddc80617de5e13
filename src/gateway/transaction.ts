import {
  directRunner,
  type OpenTransaction,
  type SessionContext,
  type StatementResult,
} from "../direct/index.js";
import { directEvents } from "../log/events/direct.js";
import {
  failLocally,
  findEffect,
  type Reply,
  type SessionState,
  type Work,
} from "../statement/index.js";
import { refuseByLoad, refuseOutOfTime, refuseWithoutGateway, toStatementEnd } from "./answers.js";
import { encodeCommit, encodeRun, type RequestStep, type TransactionPart } from "./codec.js";
import type { GatewayConnection, ForwardResult } from "./connection.js";
import type { GatewayConnections } from "./connections.js";
import { findLocalRedirect, type ReadEnd, type RedirectingSender } from "./redirect.js";
import type { GatewayRouter, Destination } from "./router.js";
import {
  countRemainingMs,
  minForwardMs,
  forwardStep,
  tooLargeReason,
  tryDestinations,
  type TryResult,
} from "./forward.js";

/** Where a transaction runs. */
type Location =
  | { readonly type: "none" }
  | { readonly type: "local"; readonly body: OpenTransaction }
  | {
      readonly type: "gateway";
      readonly vm: string;
      readonly connection: GatewayConnection;
      readonly id: number;
    }
  /** It failed or ended, and holds no connection. */
  | { readonly type: "over" };

/** The result of sending a step; `local` when the transaction runs in this process. */
type SendStepResult = TryResult<ForwardResult | "local">;

/** Builds a step of a transaction for the gateway that it is sent to. */
type BuildStep = (leftMs: number, part: TransactionPart) => RequestStep;

/**
 * A transaction that runs locally or at one gateway, which holds its connection to the target from the first
 * statement to the end. Until its commit is sent none of its changes last, even if the gateway is lost: a
 * gateway rolls back a node's transactions as soon as that node's connection ends.
 */
export class RoutedTransaction implements OpenTransaction {
  private location: Location = { type: "none" };
  private hasWritten = false;
  private isBusy = false;

  constructor(
    private readonly isReadOnly: boolean,
    private readonly router: GatewayRouter,
    private readonly connections: GatewayConnections,
    private readonly sender: RedirectingSender,
  ) {}

  get state(): SessionState {
    if (this.location.type === "local") return this.location.body.state;
    return this.location.type === "over" ? "failed" : "transaction";
  }

  get isRunning(): boolean {
    return this.isBusy;
  }

  /** Only for local transactions; a gateway itself ends those that hold a connection others wait for. */
  get hasWaiters(): boolean {
    return this.location.type === "local" && this.location.body.hasWaiters;
  }

  async run(context: SessionContext, work: Work, arrivedAt: number): Promise<Reply> {
    this.isBusy = true;
    try {
      return await this.runStep(context, work, arrivedAt);
    } finally {
      this.isBusy = false;
    }
  }

  async commit(
    context: SessionContext,
    id: string,
    text: string,
    arrivedAt: number,
  ): Promise<StatementResult> {
    this.isBusy = true;
    try {
      const end = await this.commitStep(context, id, text, arrivedAt);
      this.location = { type: "over" };
      return end;
    } finally {
      this.isBusy = false;
    }
  }

  rollback(context: SessionContext): void {
    const { location } = this;
    this.location = { type: "over" };
    if (location.type === "local") location.body.rollback(context);
    if (location.type === "gateway")
      location.connection.send({ case: "rollback", value: location.id });
  }

  private async runStep(context: SessionContext, work: Work, arrivedAt: number): Promise<Reply> {
    if (this.location.type === "over") {
      return failLocally("malformed", "the transaction has failed; roll it back", "failed");
    }
    const isFirst = this.location.type === "none" && this.isReadOnly;
    if (isFirst && this.sender.isRedirectable(context, work))
      return this.runFirstRead(context, work, arrivedAt);
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    const build: BuildStep = (leftMs, part) => encodeRun(context, work, leftMs, part);
    const sent = await this.send(context, build, deadlineAt);
    if (sent.type !== "accepted") {
      this.location = { type: "over" };
      return refuseStep(context, work.id, sent, "failed");
    }
    if (sent.value === "local") return this.runLocally(context, work, arrivedAt);
    return this.handleResult(context, work, sent.value);
  }

  /** Runs the first statement of a read-only transaction, which may be redirected. */
  private async runFirstRead(
    context: SessionContext,
    work: Work,
    arrivedAt: number,
  ): Promise<Reply> {
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    const sent = await this.sender.send(
      context,
      deadlineAt,
      async (destination, { acceptsRedirect: accepts }) => {
        if (destination.type === "local")
          return this.openLocally(context, work, arrivedAt, accepts);
        const build: BuildStep = (leftMs, part) => encodeRun(context, work, leftMs, part, accepts);
        const result = await this.openAtGateway(destination, context, build, deadlineAt);
        if (result === undefined) return undefined;
        if (result.type === "redirected") {
          const { leavesRegion } = result;
          const { dataCentre } = destination.gateway;
          return accepts ? { type: "redirected", leavesRegion, dataCentre } : undefined;
        }
        return toReadEnd(this.handleResult(context, work, result));
      },
      false,
    );
    if (sent.type === "ended") return sent.value;
    this.location = { type: "over" };
    return sent.type === "outOfTime"
      ? refuseOutOfTime(context, work.id, "failed")
      : refuseStep(context, work.id, sent, "failed");
  }

  private async openLocally(
    context: SessionContext,
    work: Work,
    arrivedAt: number,
    acceptsRedirect: boolean,
  ): Promise<ReadEnd<Reply>> {
    const offered = acceptsRedirect ? this.sender.offerRedirect(context) : context;
    const body = directRunner.openTransaction(this.isReadOnly);
    this.location = { type: "local", body };
    const reply = await body.run(offered, work, arrivedAt);
    return findLocalRedirect(offered) ?? toReadEnd(reply);
  }

  private async runLocally(context: SessionContext, work: Work, arrivedAt: number): Promise<Reply> {
    if (this.location.type !== "local") throw new Error("a local transaction has no body");
    return this.location.body.run(context, work, arrivedAt);
  }

  private handleResult(context: SessionContext, work: Work, result: ForwardResult): Reply {
    if (result.type !== "answered") return this.abort(context, work.id, describeFailure(result));
    const { reply } = result.answer;
    if (reply.state !== "transaction") this.location = { type: "over" };
    if (reply.end.type === "complete" && findEffect(work) === "write") this.hasWritten = true;
    return reply;
  }

  private async commitStep(
    context: SessionContext,
    id: string,
    text: string,
    arrivedAt: number,
  ): Promise<StatementResult> {
    if (this.location.type === "over") {
      const reply = failLocally("aborted", "the transaction failed and was rolled back", "idle");
      return { reply };
    }
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    const build: BuildStep = (leftMs, part) => encodeCommit(context, { id, text }, leftMs, part);
    const sent = await this.send(context, build, deadlineAt);
    if (sent.type !== "accepted") return { reply: refuseStep(context, id, sent, "idle") };
    if (sent.value === "local") {
      if (this.location.type !== "local") throw new Error("a local transaction has no body");
      return this.location.body.commit(context, id, text, arrivedAt);
    }
    return this.handleCommitResult(context, id, sent.value);
  }

  /**
   * Only a transaction that has written can be in doubt: without writes it makes no difference whether the
   * commit ran.
   */
  private handleCommitResult(
    context: SessionContext,
    id: string,
    result: ForwardResult,
  ): StatementResult {
    if (result.type === "answered") return toStatementEnd(result.answer);
    const reason = describeFailure(result);
    const mayHaveCommitted = result.type === "broken" && result.isSent && this.hasWritten;
    if (!mayHaveCommitted) return { reply: { ...this.abort(context, id, reason), state: "idle" } };
    context.ports.logger.write(directEvents.commitUnanswered, { id, reason });
    return { reply: failLocally("inDoubt", `the commit may have run: ${reason}`, "idle") };
  }

  /**
   * Sends a step to the transaction's gateway, or the first step to the first destination that accepts it. Only
   * the first step may be refused by the gateways' load.
   */
  private async send(
    context: SessionContext,
    build: BuildStep,
    deadlineAt: number,
  ): Promise<SendStepResult> {
    const { location, isReadOnly } = this;
    switch (location.type) {
      case "none":
        return this.open(context, build, deadlineAt);
      case "local":
        return { type: "accepted", value: "local" };
      case "gateway": {
        const { vm, connection, id: transaction } = location;
        const gatewayDataCentre = this.connections.findDataCentre(vm);
        const leftMs = Math.max(1, countRemainingMs(context, deadlineAt, gatewayDataCentre));
        const step = build(leftMs, { transaction, opens: false, isReadOnly });
        const value = await this.forward(connection, vm, context, step, leftMs);
        return { type: "accepted", value };
      }
      case "over":
        return { type: "notAccepted" };
    }
  }

  /** Sends the first step to the first destination that accepts it. */
  private async open(
    context: SessionContext,
    build: BuildStep,
    deadlineAt: number,
  ): Promise<SendStepResult> {
    const { route, level } = context.database.action;
    const needsPrimary = !this.isReadOnly || route.type === "primary";
    const { name } = context.group;
    const source = this.router.createDestinationSource(name, { needsPrimary, level });
    return tryDestinations<ForwardResult | "local">(
      context,
      source,
      deadlineAt,
      async (destination) => {
        if (destination.type === "gateway") {
          const result = await this.openAtGateway(destination, context, build, deadlineAt);
          return result?.type === "redirected" ? undefined : result;
        }
        this.location = { type: "local", body: directRunner.openTransaction(this.isReadOnly) };
        return "local";
      },
    );
  }

  /**
   * Sends the first step to one gateway. Whenever that fails another gateway may be tried: nothing of the
   * transaction has been committed, and what it did at a gateway whose connection breaks is rolled back there.
   */
  private async openAtGateway(
    { gateway }: Extract<Destination, { type: "gateway" }>,
    context: SessionContext,
    build: BuildStep,
    deadlineAt: number,
  ): Promise<ForwardResult | undefined> {
    const leftMs = countRemainingMs(context, deadlineAt, gateway.dataCentre);
    const connection = this.connections.open(gateway);
    if (connection === undefined || leftMs < minForwardMs || context.disconnectSignal.aborted)
      return undefined;
    const transaction = connection.allocateTransactionId();
    const { vm } = gateway;
    this.location = { type: "gateway", vm, connection, id: transaction };
    const step = build(leftMs, { transaction, opens: true, isReadOnly: this.isReadOnly });
    const result = await this.forward(connection, vm, context, step, leftMs);
    if (result.type === "answered" || result.type === "tooLarge" || result.type === "redirected")
      return result;
    connection.send({ case: "rollback", value: transaction });
    return undefined;
  }

  private forward(
    connection: GatewayConnection,
    vm: string,
    context: SessionContext,
    step: RequestStep,
    leftMs: number,
  ): Promise<ForwardResult> {
    const kind = "transaction";
    return forwardStep(this.connections, connection, vm, context, step, leftMs, kind);
  }

  private abort(context: SessionContext, id: string, reason: string): Reply {
    const { logger } = context.ports;
    logger.write(directEvents.transactionLost, { id, session: context.session, reason });
    const { location } = this;
    if (location.type === "gateway")
      location.connection.send({ case: "rollback", value: location.id });
    this.location = { type: "over" };
    return failLocally("aborted", `rolled back: ${reason}`, "failed");
  }
}

function toReadEnd(value: Reply): ReadEnd<Reply> {
  return { type: "ended", value, isComplete: value.end.type === "complete" };
}

/** Builds the refusal of a step that was not sent or that no gateway accepted. */
function refuseStep(
  context: SessionContext,
  id: string,
  sent: Exclude<TryResult<never>, { type: "accepted" }>,
  state: SessionState,
): Reply {
  return sent.type === "refused"
    ? refuseByLoad(context, id, sent.refusal, state)
    : refuseWithoutGateway(context, id, state);
}

function describeFailure(result: Exclude<ForwardResult, { type: "answered" }>): string {
  return result.type === "tooLarge" ? tooLargeReason : result.reason;
}
