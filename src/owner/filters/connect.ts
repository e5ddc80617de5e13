import type { Filter } from "../../filter/index.js";
import type { Outcome, Target, TargetSession, Term } from "../../model/index.js";
import { refuse, type PlacedConnection, type ServeContext } from "../context.js";
import type { PgConnection, PgAcquireResult } from "../connections.js";

/** The retry delay of a write whose primary was superseded while it waited, in milliseconds. */
const supersededRetryMs = 200;

/** The part of a group that the connect filter uses. */
export interface ConnectingGroup {
  acquireConnection(
    target: string,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<PgAcquireResult>;
  describeTarget(target: string): {
    readonly target: Target;
    readonly role: "primary" | "replica";
    readonly term: Term | undefined;
  };
  /** Reports a broken connection to the failure detector. */
  reportConnectionFailure(target: string): void;
}

/** Keeps a connection for the next batch of its open transaction. */
export type PinConnection = (placed: PlacedConnection, connection: PgConnection) => void;

/**
 * Acquires a connection for the request. It returns to the pool only after an exchange that ended idle.
 * With an open transaction it stays with its conversation, and after a failure it is closed, so that a
 * late answer or an unfinished transaction never reaches the next caller.
 */
export function createConnectFilter(
  group: ConnectingGroup,
  pin: PinConnection,
): Filter<ServeContext> {
  return {
    name: "connect",
    async apply(context, next) {
      const name = context.slotTarget;
      if (name === undefined) throw new Error("the request holds no slot yet");
      const acquired = await group.acquireConnection(
        name,
        context.request.deadlineAt,
        context.signal,
      );
      if (acquired.type === "refused") {
        return refuse(acquired.reason, acquired.retryAfterMs, `no connection to ${name}`);
      }
      const { connection } = acquired;
      const placed: PlacedConnection = {
        ...group.describeTarget(name),
        session: trackProgress(connection),
      };
      if (!canRun(context, placed)) {
        connection.release();
        return refuse("superseded", supersededRetryMs, `${name} is no longer the primary`);
      }
      context.placement.record(placed);
      const outcome = await next({ ...context, placedConnection: placed });
      if (!connection.session.isUsable) group.reportConnectionFailure(name);
      settleConnection(outcome, placed, connection, pin);
      return outcome;
    },
  };
}

/**
 * The primary may have changed while a write waited for its connection. The old one, resumed after a
 * freeze and not fenced yet, would commit a write that the new one's log lacks, and the write would be
 * lost. Nothing was sent yet, so the refusal as not run is true, and the next attempt looks up the primary
 * again.
 */
function canRun({ request }: ServeContext, { role }: PlacedConnection): boolean {
  return role === "primary" || request.traits.effect === "read";
}

/** Returns a connection to the pool, pins it for its open transaction, or closes it. */
export function settleConnection(
  outcome: Outcome,
  placed: PlacedConnection,
  connection: PgConnection,
  pin: PinConnection,
): void {
  if (outcome.type === "failed") connection.drop();
  else if (outcome.status === "I") connection.release();
  else pin(placed, connection);
}

function trackProgress(connection: PgConnection): TargetSession {
  const { session } = connection;
  return {
    target: session.target,
    get isUsable() {
      return session.isUsable;
    },
    exchange: (messages, sink, signal) =>
      session.exchange(
        messages,
        (message) => {
          connection.noteProgress();
          return sink(message);
        },
        signal,
      ),
    close: () => {
      session.close();
    },
  };
}
