import {
  directRunner,
  type OpenTransaction,
  type SessionContext,
  type StatementEnd,
} from "../direct/index.js";
import { directEvents } from "../log/events/direct.js";
import {
  failLocally,
  findEffect,
  type Reply,
  type SessionState,
  type Work,
} from "../statement/index.js";
import { refuseWithoutGateway, toStatementEnd } from "./answers.js";
import { encodeCommit, encodeRun, type RequestStep, type TransactionPart } from "./codec.js";
import type { GatewayConnection, ForwardResult } from "./connection.js";
import type { GatewayConnections } from "./connections.js";
import type { GatewayRouter, Destination } from "./router.js";
import {
  countRemainingMs,
  minForwardMs,
  forwardStep,
  tooLargeReason,
  tryDestinations,
} from "./forward.js";

/** Where a transaction is. */
type Place =
  | { readonly type: "none" }
  | { readonly type: "here"; readonly body: OpenTransaction }
  | {
      readonly type: "gateway";
      readonly vm: string;
      readonly link: GatewayConnection;
      readonly id: number;
    }
  /** It failed or ended; nothing is held anywhere. */
  | { readonly type: "over" };

/** A step of a transaction, built for the gateway that it goes to. */
type BuildStep = (leftMs: number, part: TransactionPart) => RequestStep;

/**
 * A transaction that is run here or at one gateway, where its connection is held from the first statement
 * to the end. Until its commit is sent nothing of it is kept, whatever happens to the way there: a
 * gateway rolls back what it holds for a node as soon as that node's connection ends.
 */
export class RoutedTransaction implements OpenTransaction {
  private place: Place = { type: "none" };
  private hasWritten = false;
  private isBusy = false;

  constructor(
    private readonly isReadOnly: boolean,
    private readonly router: GatewayRouter,
    private readonly links: GatewayConnections,
  ) {}

  get state(): SessionState {
    if (this.place.type === "here") return this.place.body.state;
    return this.place.type === "over" ? "failed" : "transaction";
  }

  get isRunning(): boolean {
    return this.isBusy;
  }

  /** What is held at a gateway is that gateway's to end. */
  get isWanted(): boolean {
    return this.place.type === "here" && this.place.body.isWanted;
  }

  async run(context: SessionContext, work: Work, arrivedAt: number): Promise<Reply> {
    this.isBusy = true;
    try {
      return await this.runNow(context, work, arrivedAt);
    } finally {
      this.isBusy = false;
    }
  }

  async commit(
    context: SessionContext,
    id: string,
    text: string,
    arrivedAt: number,
  ): Promise<StatementEnd> {
    this.isBusy = true;
    try {
      const end = await this.commitNow(context, id, text, arrivedAt);
      this.place = { type: "over" };
      return end;
    } finally {
      this.isBusy = false;
    }
  }

  rollback(context: SessionContext): void {
    const { place } = this;
    this.place = { type: "over" };
    if (place.type === "here") place.body.rollback(context);
    if (place.type === "gateway") place.link.send({ case: "rollback", value: place.id });
  }

  private async runNow(context: SessionContext, work: Work, arrivedAt: number): Promise<Reply> {
    if (this.place.type === "over") {
      return failLocally("malformed", "the transaction has failed; roll it back", "failed");
    }
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    const build: BuildStep = (leftMs, part) => encodeRun(context, work, leftMs, part);
    const result = await this.send(context, build, deadlineAt);
    if (result === "here") return this.runHere(context, work, arrivedAt);
    if (result === undefined) {
      this.place = { type: "over" };
      return refuseWithoutGateway(context, work.id, "failed");
    }
    return this.takeResult(context, work, result);
  }

  private async runHere(context: SessionContext, work: Work, arrivedAt: number): Promise<Reply> {
    if (this.place.type !== "here") throw new Error("a transaction that runs here has its body");
    return this.place.body.run(context, work, arrivedAt);
  }

  private takeResult(context: SessionContext, work: Work, result: ForwardResult): Reply {
    if (result.type !== "answered") return this.abort(context, work.id, describeFailure(result));
    const { reply } = result.answer;
    if (reply.state !== "transaction") this.place = { type: "over" };
    if (reply.end.type === "complete" && findEffect(work) === "write") this.hasWritten = true;
    return reply;
  }

  private async commitNow(
    context: SessionContext,
    id: string,
    text: string,
    arrivedAt: number,
  ): Promise<StatementEnd> {
    if (this.place.type === "over") {
      const reply = failLocally("aborted", "the transaction failed and was rolled back", "idle");
      return { reply };
    }
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    const build: BuildStep = (leftMs, part) => encodeCommit(context, { id, text }, leftMs, part);
    const result = await this.send(context, build, deadlineAt);
    if (result === "here") {
      if (this.place.type !== "here") throw new Error("a transaction that runs here has its body");
      return this.place.body.commit(context, id, text, arrivedAt);
    }
    if (result === undefined) return { reply: refuseWithoutGateway(context, id, "idle") };
    return this.takeCommitResult(context, id, result);
  }

  /** A transaction that wrote nothing leaves nothing behind, whether its commit ran or not. */
  private takeCommitResult(
    context: SessionContext,
    id: string,
    result: ForwardResult,
  ): StatementEnd {
    if (result.type === "answered") return toStatementEnd(result.answer);
    const reason = describeFailure(result);
    const maySent = result.type === "broken" && result.sent && this.hasWritten;
    if (!maySent) return { reply: { ...this.abort(context, id, reason), state: "idle" } };
    context.ports.logger.write(directEvents.commitUnanswered, { id, reason });
    return { reply: failLocally("inDoubt", `the commit may have run: ${reason}`, "idle") };
  }

  /** Sends a step to where the transaction is, or to the first gateway that takes it. */
  private async send(
    context: SessionContext,
    build: BuildStep,
    deadlineAt: number,
  ): Promise<ForwardResult | "here" | undefined> {
    const { place, isReadOnly } = this;
    switch (place.type) {
      case "none":
        return this.open(context, build, deadlineAt);
      case "here":
        return "here";
      case "gateway": {
        const { vm, link, id: transaction } = place;
        const leftMs = Math.max(1, countRemainingMs(context, deadlineAt));
        const step = build(leftMs, { transaction, opens: false, isReadOnly });
        return forwardStep(this.links, link, vm, context, step, leftMs);
      }
      case "over":
        return undefined;
    }
  }

  /** Sends the first step to whoever takes it. */
  private async open(
    context: SessionContext,
    build: BuildStep,
    deadlineAt: number,
  ): Promise<ForwardResult | "here" | undefined> {
    const needsPrimary = !this.isReadOnly || context.database.action.route.type === "primary";
    const ways = this.router.createDestinationSource(context.group.name, needsPrimary);
    return tryDestinations<ForwardResult | "here">(context, ways, deadlineAt, async (way) => {
      if (way.type === "gateway") return this.openAt(way, context, build, deadlineAt);
      this.place = { type: "here", body: directRunner.openTransaction(this.isReadOnly) };
      return "here";
    });
  }

  /**
   * Sends the first step to one gateway. Nothing has run before its answer, and what a broken connection
   * leaves behind is rolled back, so that another gateway may be tried each time.
   */
  private async openAt(
    { gateway }: Extract<Destination, { type: "gateway" }>,
    context: SessionContext,
    build: BuildStep,
    deadlineAt: number,
  ): Promise<ForwardResult | undefined> {
    const leftMs = countRemainingMs(context, deadlineAt);
    const link = this.links.open(gateway);
    if (link === undefined || leftMs < minForwardMs || context.gone.aborted) return undefined;
    const transaction = link.allocateTransactionId();
    const { vm } = gateway;
    this.place = { type: "gateway", vm, link, id: transaction };
    const step = build(leftMs, { transaction, opens: true, isReadOnly: this.isReadOnly });
    const result = await forwardStep(this.links, link, vm, context, step, leftMs);
    if (result.type === "answered" || result.type === "tooLarge") return result;
    link.send({ case: "rollback", value: transaction });
    return undefined;
  }

  private abort(context: SessionContext, id: string, reason: string): Reply {
    const { logger } = context.ports;
    logger.write(directEvents.transactionLost, { id, session: context.session, reason });
    const { place } = this;
    if (place.type === "gateway") place.link.send({ case: "rollback", value: place.id });
    this.place = { type: "over" };
    return failLocally("aborted", `rolled back: ${reason}`, "failed");
  }
}

function describeFailure(result: Exclude<ForwardResult, { type: "answered" }>): string {
  return result.type === "tooLarge" ? tooLargeReason : result.reason;
}
