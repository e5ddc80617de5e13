import type { Filter } from "../../filter/index.js";
import type { Outcome, Target, TargetSession, Term } from "../../model/index.js";
import { refuse, type PlacedConnection, type ServeContext } from "../context.js";
import type { PgConnection, PgAcquireResult } from "../connections.js";

/** When a write whose primary was superseded meanwhile may be tried again, in milliseconds. */
const supersededRetryMs = 200;

/** What connecting asks of the group. */
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
  /** A connection broke: a hint for the failure detector. */
  reportConnectionFailure(target: string): void;
}

/** Keeps a place for the next batch of an open transaction. */
export type PinConnection = (place: PlacedConnection, connection: PgConnection) => void;

/**
 * Takes a connection for the request. It goes back to the pool only after an exchange that ended
 * idle; with a transaction open it stays with its conversation, and after a failure it is closed, so
 * that a late answer or a half-done transaction can never meet the next caller.
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
      const taken = await group.acquireConnection(name, context.request.deadlineAt, context.signal);
      if (taken.type === "refused") {
        return refuse(taken.reason, taken.retryAfterMs, `no connection to ${name}`);
      }
      const { connection } = taken;
      const place: PlacedConnection = {
        ...group.describeTarget(name),
        session: observeProgress(connection),
      };
      if (!canRun(context, place)) {
        connection.release();
        return refuse("superseded", supersededRetryMs, `${name} is primary no more`);
      }
      context.placement.record(place);
      const outcome = await next({ ...context, placedConnection: place });
      if (!connection.session.isUsable) group.reportConnectionFailure(name);
      settleConnection(outcome, place, connection, pin);
      return outcome;
    },
  };
}

/**
 * While a write waited for its connection the primary may have changed. The old one, back from a
 * freeze and not fenced yet, would commit what the new one's log lacks: the write would be lost.
 * Nothing was sent yet, so the refusal is true, and the next try looks for the primary afresh.
 */
function canRun({ request }: ServeContext, { role }: PlacedConnection): boolean {
  return role === "primary" || request.traits.effect === "read";
}

/** Gives a connection back, keeps it for its open transaction, or closes it. */
export function settleConnection(
  outcome: Outcome,
  place: PlacedConnection,
  connection: PgConnection,
  pin: PinConnection,
): void {
  if (outcome.type === "failed") connection.drop();
  else if (outcome.status === "I") connection.release();
  else pin(place, connection);
}

function observeProgress(connection: PgConnection): TargetSession {
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
