import { composeFilters, type Filter, type Next } from "../filter/index.js";
import { ownerEvents } from "../log/events/owner.js";
import {
  assertInvariant,
  type Conversation,
  type MessageSink,
  type Outcome,
  type Request,
} from "../model/index.js";
import { HeldAnswer, type HoldMode } from "./answer.js";
import { LatestPlacement, refuse, type PlacedConnection, type ServeContext } from "./context.js";
import { startDeadline } from "./deadline.js";
import { createAttemptFilter } from "./filters/attempt.js";
import { createConfirmFilter } from "./filters/confirm.js";
import { createConnectFilter, settleConnection } from "./filters/connect.js";
import { createDeduplicateFilter } from "./filters/deduplicate.js";
import { executeFilter } from "./filters/execute.js";
import { createFloorFilter } from "./filters/floor.js";
import { createOpenFilter } from "./filters/open.js";
import { createPlaceFilter, runInSlot } from "./filters/place.js";
import type { ServedGroup } from "./group.js";
import type { PgConnection } from "./connections.js";

const refusedRetryMs = 100;

/** The connection that an open transaction is pinned to. */
interface PinnedConnection {
  readonly placed: PlacedConnection;
  readonly connection: PgConnection;
}

/** One caller's conversation with a group that this process serves. */
export class OwnerConversation implements Conversation {
  private readonly serveUnpinned: Next<ServeContext>;
  private readonly servePinned: Next<ServeContext>;
  private pinned: PinnedConnection | undefined;
  /** The target for which the group counts this conversation's open transaction. */
  private countedTarget: string | undefined;
  private isRunning = false;
  private isClosed = false;

  constructor(
    private readonly group: ServedGroup,
    /** Called once, when the conversation has ended. */
    private readonly onEnd: () => void,
  ) {
    const { logger } = group.ports;
    const pin = (placed: PlacedConnection, connection: PgConnection) => {
      this.pinned = { placed, connection };
    };
    const attempt = createAttemptFilter(group);
    const confirm = createConfirmFilter(group.confirmer, logger);
    this.serveUnpinned = composeFilters([
      createOpenFilter(group),
      group.retry,
      createFloorFilter((signal) => group.confirmer.findFloor(signal)),
      confirm,
      createPlaceFilter(group, logger),
      createConnectFilter(group, pin),
      attempt,
      createDeduplicateFilter(logger),
      executeFilter,
    ]);
    this.servePinned = composeFilters([confirm, this.createPinnedFilter(attempt)]);
  }

  async run(
    request: Request,
    messages: Uint8Array,
    sink: MessageSink,
    signal: AbortSignal,
  ): Promise<Outcome> {
    if (this.isClosed) return refuse("draining", refusedRetryMs, "the conversation has ended");
    assertInvariant(
      "oneTransactionPerConnection",
      !this.isRunning,
      () => `${request.id} started while another batch of its conversation was running`,
    );
    this.isRunning = true;
    const deadline = startDeadline(request.deadlineAt - this.group.ports.clock.now(), signal);
    try {
      const answer = new HeldAnswer(sink, chooseHoldMode(request));
      const placement = new LatestPlacement();
      const { signal: deadlineSignal } = deadline;
      const timeLeftMs = () => request.deadlineAt - this.group.ports.clock.now();
      const context = {
        request,
        messages,
        answer,
        signal: deadlineSignal,
        attempt: 1,
        timeLeftMs,
        placement,
      };
      const outcome = await this.serve(context);
      this.reportOutcome(request, outcome);
      return outcome;
    } finally {
      deadline.dispose();
      this.isRunning = false;
      this.updateTransactionCount(this.pinned?.placed.target.name);
      if (this.hasEnded()) this.end();
    }
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    if (!this.isRunning) this.end();
  }

  private serve(context: ServeContext): Promise<Outcome> {
    const { pinned } = this;
    if (pinned === undefined) return this.serveUnpinned(context);
    context.placement.record(pinned.placed);
    return this.servePinned(context);
  }

  /** A statement of an open transaction waits for a slot like any other, but only of its own target. */
  private createPinnedFilter(attempt: Filter<ServeContext>): Filter<ServeContext> {
    const execute = composeFilters([attempt, executeFilter]);
    return {
      name: "pinned",
      apply: async (context) => {
        const { pinned } = this;
        if (pinned === undefined) throw new Error("no transaction is open");
        const { target } = pinned.placed;
        // A leaving target has no slots for new work, but its open transactions run to their end.
        if (this.group.isLeaving(target.name)) {
          return this.settlePinned(
            await execute({ ...context, placedConnection: pinned.placed }),
            pinned,
          );
        }
        const acquired = await this.group.acquireSlot(
          context.request,
          [target.name],
          context.signal,
        );
        if (acquired.type === "refused") {
          const { reason, retryAfterMs } = acquired;
          const refused = refuse(reason, retryAfterMs, "the transaction was rolled back");
          return this.settlePinned(refused, pinned);
        }
        const outcome = await runInSlot(
          { ...context, placedConnection: pinned.placed },
          acquired.slot,
          execute,
        );
        if (!pinned.connection.session.isUsable) this.group.reportConnectionFailure(target.name);
        return this.settlePinned(outcome, pinned);
      },
    };
  }

  private settlePinned(outcome: Outcome, { placed, connection }: PinnedConnection): Outcome {
    this.pinned = undefined;
    settleConnection(outcome, placed, connection, (keptPlacement, keptConnection) => {
      this.pinned = { placed: keptPlacement, connection: keptConnection };
    });
    return outcome;
  }

  /**
   * Counts the open transaction for its target. It counts as open until its commit is confirmed, since the
   * primary role must not move before.
   */
  private updateTransactionCount(target: string | undefined): void {
    if (target === this.countedTarget) return;
    const before = this.countedTarget;
    this.countedTarget = target;
    if (target !== undefined) this.group.adjustTransactionCount(target, 1);
    if (before !== undefined) this.group.adjustTransactionCount(before, -1);
  }

  private hasEnded(): boolean {
    return this.isClosed;
  }

  /** Ends the conversation. Closing the connection of an open transaction rolls it back. */
  private end(): void {
    this.isClosed = true;
    this.pinned?.connection.drop();
    this.pinned = undefined;
    this.updateTransactionCount(undefined);
    this.onEnd();
  }

  private reportOutcome(request: Request, outcome: Outcome): void {
    const { logger, hooks } = this.group.ports;
    hooks.onOutcome(request, outcome);
    if (outcome.type === "answered") return;
    logger.write(ownerEvents.requestGivenUp, {
      request: request.id,
      group: request.traits.group,
      team: request.traits.team,
      verdict: outcome.verdict,
      message: outcome.message,
    });
  }
}

/**
 * Chooses which part of the answer is held. The whole answer of a keyed write is, since it is recorded for
 * repeats; that of any other write is held from its outcome on, until the write is confirmed.
 */
function chooseHoldMode({ traits, idempotency }: Request): HoldMode {
  if (traits.effect === "read") return "none";
  return idempotency !== undefined && !traits.transaction ? "all" : "outcome";
}
