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

/** The connection that an open transaction stays on. */
interface PinnedConnection {
  readonly place: PlacedConnection;
  readonly connection: PgConnection;
}

/** One caller's exchange with a group that this process serves. */
export class OwnerConversation implements Conversation {
  private readonly serveUnpinned: Next<ServeContext>;
  private readonly servePinned: Next<ServeContext>;
  private pinned: PinnedConnection | undefined;
  /** The target on which the group counts this conversation's transaction. */
  private countedTarget: string | undefined;
  private isRunning = false;
  private isClosed = false;

  constructor(
    private readonly group: ServedGroup,
    /** Hears once that the conversation has ended. */
    private readonly onEnd: () => void,
  ) {
    const { logger } = group.ports;
    const pin = (place: PlacedConnection, connection: PgConnection) => {
      this.pinned = { place, connection };
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
      () => `${request.id} came while another batch of its conversation ran`,
    );
    this.isRunning = true;
    const deadline = startDeadline(request.deadlineAt - this.group.ports.clock.now(), signal);
    try {
      const answer = new HeldAnswer(sink, chooseHoldMode(request));
      const placement = new LatestPlacement();
      const { signal: inTime } = deadline;
      const timeLeftMs = () => request.deadlineAt - this.group.ports.clock.now();
      const context = {
        request,
        messages,
        answer,
        signal: inTime,
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
      this.updateTransactionCount(this.pinned?.place.target.name);
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
    context.placement.record(pinned.place);
    return this.servePinned(context);
  }

  /** A statement of an open transaction waits for a slot as any other, on its own target. */
  private createPinnedFilter(attempt: Filter<ServeContext>): Filter<ServeContext> {
    const execute = composeFilters([attempt, executeFilter]);
    return {
      name: "pinned",
      apply: async (context) => {
        const { pinned } = this;
        if (pinned === undefined) throw new Error("no transaction is open");
        const { target } = pinned.place;
        // A leaving target has no slots for new work; what it has begun goes on to its end.
        if (this.group.isLeaving(target.name)) {
          return this.settlePinned(
            await execute({ ...context, placedConnection: pinned.place }),
            pinned,
          );
        }
        const placed = await this.group.acquireSlot(context.request, [target.name], context.signal);
        if (placed.type === "refused") {
          const { reason, retryAfterMs } = placed;
          const refused = refuse(reason, retryAfterMs, "the transaction was rolled back");
          return this.settlePinned(refused, pinned);
        }
        const outcome = await runInSlot(
          { ...context, placedConnection: pinned.place },
          placed.slot,
          execute,
        );
        if (!pinned.connection.session.isUsable) this.group.reportConnectionFailure(target.name);
        return this.settlePinned(outcome, pinned);
      },
    };
  }

  private settlePinned(outcome: Outcome, { place, connection }: PinnedConnection): Outcome {
    this.pinned = undefined;
    settleConnection(outcome, place, connection, (again, held) => {
      this.pinned = { place: again, connection: held };
    });
    return outcome;
  }

  /** A transaction counts as open until its commit is confirmed: the role must not move before. */
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

  /** An open transaction is rolled back by closing its connection. */
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
 * A keyed write's whole answer is held, since it is kept for repeats; any other write's is held from
 * its outcome on, until the write is confirmed.
 */
function chooseHoldMode({ traits, idempotency }: Request): HoldMode {
  if (traits.effect === "read") return "none";
  return idempotency !== undefined && !traits.transaction ? "all" : "outcome";
}
