import {
  directRunner,
  type OpenTransaction,
  type SessionContext,
  type StatementResult,
  type WorkRunner,
} from "../direct/index.js";
import type { Effect } from "../model/index.js";
import { failLocally, findEffect, type Work } from "../statement/index.js";
import { refuseWithoutGateway, toStatementEnd } from "./answers.js";
import { encodeRun, noTransaction } from "./codec.js";
import type { ForwardResult } from "./connection.js";
import type { GatewayConnections } from "./connections.js";
import type { GatewayRouter, Destination } from "./router.js";
import { RoutedTransaction } from "./transaction.js";
import {
  countRemainingMs,
  minForwardMs,
  forwardStep,
  tooLargeReason,
  tryDestinations,
} from "./forward.js";

/** Runs statements locally when this process holds the group's connections, else at a gateway. */
export class RoutedRunner implements WorkRunner {
  constructor(
    private readonly router: GatewayRouter,
    private readonly connections: GatewayConnections,
  ) {}

  async runAutocommit(
    context: SessionContext,
    work: Work,
    arrivedAt: number,
  ): Promise<StatementResult> {
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    const source = this.router.createDestinationSource(
      context.group.name,
      needsPrimary(context, work),
    );
    const end = await tryDestinations(context, source, deadlineAt, async (destination) =>
      destination.type === "local"
        ? directRunner.runAutocommit(context, work, arrivedAt)
        : this.tryGateway(destination, context, work, deadlineAt),
    );
    return end ?? { reply: refuseWithoutGateway(context, work.id, "idle") };
  }

  openTransaction(isReadOnly: boolean): OpenTransaction {
    return new RoutedTransaction(isReadOnly, this.router, this.connections);
  }

  /** Forwards the statement to one gateway. Undefined means that another gateway may be tried. */
  private async tryGateway(
    { gateway }: Extract<Destination, { type: "gateway" }>,
    context: SessionContext,
    work: Work,
    deadlineAt: number,
  ): Promise<StatementResult | undefined> {
    const leftMs = countRemainingMs(context, deadlineAt, gateway.dataCentre);
    const connection = this.connections.open(gateway);
    if (connection === undefined || leftMs < minForwardMs || context.disconnectSignal.aborted)
      return undefined;
    const step = encodeRun(context, work, leftMs, noTransaction);
    const effect = findEffect(work);
    const result = await forwardStep(
      this.connections,
      connection,
      gateway.vm,
      context,
      step,
      leftMs,
      effect,
    );
    return interpretResult(result, effect);
  }
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
      return undefined;
    case "tooLarge":
      return { reply: failLocally("tooLarge", tooLargeReason, "idle") };
    case "broken": {
      if (!result.isSent || effect === "read") return undefined;
      return { reply: failLocally("inDoubt", `may have run: ${result.reason}`, "idle") };
    }
  }
}
