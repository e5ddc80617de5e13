import {
  directRunner,
  type OpenTransaction,
  type SessionContext,
  type StatementEnd,
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

/** Runs work here where this process holds the group's connections, else at one of its gateways. */
export class RoutedRunner implements WorkRunner {
  constructor(
    private readonly router: GatewayRouter,
    private readonly links: GatewayConnections,
  ) {}

  async runSingle(context: SessionContext, work: Work, arrivedAt: number): Promise<StatementEnd> {
    const deadlineAt = arrivedAt + context.database.action.deadlineMs;
    const ways = this.router.createDestinationSource(
      context.group.name,
      needsPrimary(context, work),
    );
    const end = await tryDestinations(context, ways, deadlineAt, async (way) =>
      way.type === "here"
        ? directRunner.runSingle(context, work, arrivedAt)
        : this.tryAt(way, context, work, deadlineAt),
    );
    return end ?? { reply: refuseWithoutGateway(context, work.id, "idle") };
  }

  openTransaction(isReadOnly: boolean): OpenTransaction {
    return new RoutedTransaction(isReadOnly, this.router, this.links);
  }

  /** One trip; gives the answer, or nothing when another gateway may be asked. */
  private async tryAt(
    { gateway }: Extract<Destination, { type: "gateway" }>,
    context: SessionContext,
    work: Work,
    deadlineAt: number,
  ): Promise<StatementEnd | undefined> {
    const leftMs = countRemainingMs(context, deadlineAt);
    const link = this.links.open(gateway);
    if (link === undefined || leftMs < minForwardMs || context.gone.aborted) return undefined;
    const step = encodeRun(context, work, leftMs, noTransaction);
    const result = await forwardStep(this.links, link, gateway.vm, context, step, leftMs);
    return interpretResult(result, findEffect(work));
  }
}

/** What needs the primary itself, as far as it can be told here; the gateway may find that more does. */
function needsPrimary({ database }: SessionContext, work: Work): boolean {
  return findEffect(work) === "write" || database.action.route.type === "primary";
}

/**
 * What follows from a trip; nothing where another gateway may be asked. A write that left and was not
 * answered may have run, and must never be sent again; a read has no effect to repeat.
 */
export function interpretResult(result: ForwardResult, effect: Effect): StatementEnd | undefined {
  switch (result.type) {
    case "answered":
      return toStatementEnd(result.answer);
    case "turnedAway":
      return undefined;
    case "tooLarge":
      return { reply: failLocally("tooLarge", tooLargeReason, "idle") };
    case "broken": {
      if (!result.sent || effect === "read") return undefined;
      return { reply: failLocally("inDoubt", `may have run: ${result.reason}`, "idle") };
    }
  }
}
