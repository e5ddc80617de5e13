import { recordOpenFailure } from "./open.js";
import {
  addEffect,
  closeConnection,
  listConnections,
  putConnection,
  removeConnection,
  type Draft,
} from "./pool.js";
import type { Connection } from "./types.js";

/** Starts a check of an idle connection, which is not granted until it has answered. */
export function checkIdle(
  draft: Draft,
  connection: Extract<Connection, { type: "idle" }>,
  at: number,
): Draft {
  const suspect = putConnection(draft, { ...connection, type: "suspect", checkStartedAt: at });
  return addEffect(suspect, { type: "check", connection: connection.id });
}

/**
 * Checks every idle connection without activity after `since`, which is when the exchange on a
 * silent connection began. A device on the network path can forget many connections of the same age
 * at once, and each of the next callers would then wait for the timeout. A connection with later
 * activity is known to be alive.
 */
export function checkStaleIdle(draft: Draft, since: number, at: number): Draft {
  return listConnections(draft.pool, "idle")
    .filter((c) => c.lastActivityAt <= since)
    .reduce((next, c) => checkIdle(next, c, at), draft);
}

/**
 * Closes or checks connections that have been silent for too long, and removes closed ones after
 * `lingerMs`.
 */
export function applyTimeouts(draft: Draft, at: number): Draft {
  let next = draft;
  for (const connection of Object.values(draft.pool.connections)) {
    next = applyTimeout(next, connection.id, at);
  }
  return next;
}

function applyTimeout(draft: Draft, id: string, at: number): Draft {
  const { settings, connections } = draft.pool;
  const connection = connections[id];
  switch (connection?.type) {
    case undefined:
      return draft;
    case "opening": {
      if (at - connection.since < settings.openTimeoutMs) return draft;
      return recordOpenFailure(closeConnection(draft, id, "openTimeout", at), "failed", at);
    }
    case "active": {
      if (at - connection.lastActivityAt < settings.progressTimeoutMs) return draft;
      const closed = closeConnection(draft, id, "silent", at);
      const lost = addEffect(closed, { type: "lose", waiter: connection.waiter, connection: id });
      return checkStaleIdle(lost, connection.lastActivityAt, at);
    }
    case "suspect": {
      if (at - connection.checkStartedAt < settings.checkTimeoutMs) return draft;
      return checkStaleIdle(
        closeConnection(draft, id, "silent", at),
        connection.checkStartedAt,
        at,
      );
    }
    case "idle":
      return at - connection.lastActivityAt < settings.checkAfterIdleMs
        ? draft
        : checkIdle(draft, connection, at);
    case "closed":
      return at - connection.closedAt < settings.lingerMs ? draft : removeConnection(draft, id);
  }
}
