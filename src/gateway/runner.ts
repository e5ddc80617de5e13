import {
  directRunner,
  type OpenTransaction,
  type SessionContext,
  type StatementResult,
  type WorkRunner,
} from "../direct/index.js";
import type { Effect } from "../model/index.js";
import { failLocally, findEffect, type Work } from "../statement/index.js";
import { refuseByLoad, refuseOutOfTime, refuseWithoutGateway, toStatementEnd } from "./answers.js";
import { encodeRun, noTransaction } from "./codec.js";
import type { ForwardResult } from "./connection.js";
import type { GatewayConnections } from "./connections.js";
import { findLocalRedirect, RedirectingSender, type ReadEnd, type ReadTerms } from "./redirect.js";
import type { GatewayRouter, Destination } from "./router.js";
import { RoutedTransaction } from "./transaction.js";
import {
  countRemainingMs,
  minForwardMs,
  forwardStep,
  sendMeasuredRead,
  tooLargeReason,
  tryDestinations,
} from "./forward.js";

/** Of statements that neither may be redirected nor are divided between gateways. */
const fixedTerms: ReadTerms = { acceptsRedirect: false, isNear: false };

/** Runs statements locally when this process holds the group's connections, else at a gateway. */
export class RoutedRunner implements WorkRunner {
  private readonly sender: RedirectingSender;

  constructor(
    private readonly router: GatewayRouter,
    private readonly connections: GatewayConnections,
  ) {
    this.sender = new RedirectingSender(router);
  }

  async runAutocommit(
    context: SessionContext,
    work: Work,
    arrivedAt: number,
  ): Promise<StatementResult> {
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    if (this.sender.isRedirectable(context, work))
      return this.runRedirectable(context, work, arrivedAt);
    const source = this.router.createDestinationSource(context.group.name, {
      needsPrimary: needsPrimary(context, work),
      level: context.database.action.level,
    });
    const end = await tryDestinations(context, source, deadlineAt, async (destination) => {
      if (destination.type === "local") return directRunner.runAutocommit(context, work, arrivedAt);
      const result = await this.tryGateway(destination, context, work, deadlineAt, fixedTerms);
      return result === undefined ? undefined : interpretResult(result, findEffect(work));
    });
    switch (end.type) {
      case "accepted":
        return end.value;
      case "notAccepted":
        return { reply: refuseWithoutGateway(context, work.id, "idle") };
      case "refused":
        return { reply: refuseByLoad(context, work.id, end.refusal, "idle") };
    }
  }

  openTransaction(isReadOnly: boolean): OpenTransaction {
    return new RoutedTransaction(isReadOnly, this.router, this.connections, this.sender);
  }

  private async runRedirectable(
    context: SessionContext,
    work: Work,
    arrivedAt: number,
  ): Promise<StatementResult> {
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    const sent = await this.sender.send(
      context,
      deadlineAt,
      async (destination, terms) => {
        const accepts = terms.acceptsRedirect;
        if (destination.type === "local") return this.runLocally(context, work, arrivedAt, accepts);
        const result = await this.tryGateway(destination, context, work, deadlineAt, terms);
        if (accepts && result?.type === "redirected")
          return {
            type: "redirected",
            leavesRegion: result.leavesRegion,
            dataCentre: destination.gateway.dataCentre,
          };
        const end = result === undefined ? undefined : interpretResult(result, findEffect(work));
        return end === undefined ? undefined : toReadEnd(end);
      },
      true,
    );
    switch (sent.type) {
      case "ended":
        return sent.value;
      case "notAccepted":
        return { reply: refuseWithoutGateway(context, work.id, "idle") };
      case "refused":
        return { reply: refuseByLoad(context, work.id, sent.refusal, "idle") };
      case "outOfTime":
        return { reply: refuseOutOfTime(context, work.id, "idle") };
    }
  }

  private async runLocally(
    context: SessionContext,
    work: Work,
    arrivedAt: number,
    acceptsRedirect: boolean,
  ): Promise<ReadEnd<StatementResult>> {
    const offered = acceptsRedirect ? this.sender.offerRedirect(context) : context;
    const end = await directRunner.runAutocommit(offered, work, arrivedAt);
    return findLocalRedirect(offered) ?? toReadEnd(end);
  }

  /** Forwards the statement to one gateway; undefined when it was not sent. */
  private async tryGateway(
    { gateway }: Extract<Destination, { type: "gateway" }>,
    context: SessionContext,
    work: Work,
    deadlineAt: number,
    { acceptsRedirect, isNear }: ReadTerms,
  ): Promise<ForwardResult | undefined> {
    const leftMs = countRemainingMs(context, deadlineAt, gateway.dataCentre);
    const connection = this.connections.open(gateway);
    if (connection === undefined || leftMs < minForwardMs || context.disconnectSignal.aborted)
      return undefined;
    const step = encodeRun(context, work, leftMs, noTransaction, acceptsRedirect);
    const { vm } = gateway;
    const effect = findEffect(work);
    const send = () => forwardStep(this.connections, connection, vm, context, step, leftMs, effect);
    return isNear
      ? sendMeasuredRead(this.connections, vm, context.group.name, leftMs, send)
      : send();
  }
}

function toReadEnd(value: StatementResult): ReadEnd<StatementResult> {
  return { type: "ended", value, isComplete: value.reply.end.type === "complete" };
}

/** Whether the statement certainly needs the primary. The gateway may find that others need it as well. */
function needsPrimary({ database }: SessionContext, work: Work): boolean {
  return findEffect(work) === "write" || database.action.route.type === "primary";
}

/**
 * The end of a statement by the result of forwarding it; undefined means that another gateway may be tried.
 * A write that was sent and not answered may have run, and must never be sent again. A read may be, since it
 * has no effect.
 */
export function interpretResult(
  result: ForwardResult,
  effect: Effect,
): StatementResult | undefined {
  switch (result.type) {
    case "answered":
      return toStatementEnd(result.answer);
    case "turnedAway":
    case "redirected":
      return undefined;
    case "tooLarge":
      return { reply: failLocally("tooLarge", tooLargeReason, "idle") };
    case "broken": {
      if (!result.isSent || effect === "read") return undefined;
      return { reply: failLocally("inDoubt", `may have run: ${result.reason}`, "idle") };
    }
  }
}
