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

/** Takes an idle connection out of use until it has answered a check. */
export function checkIdle(
  draft: Draft,
  connection: Extract<Connection, { type: "idle" }>,
  at: number,
): Draft {
  const suspect = putConnection(draft, { ...connection, type: "suspect", checkStartedAt: at });
  return addEffect(suspect, { type: "check", connection: connection.id });
}

/**
 * Checks every idle connection that gave no sign of life after `since`, when a silent one's exchange
 * began. Something between the two ends loses track of connections by age, many at once: the next
 * callers would each wait for the timeout. One that answered later is known to be alive.
 */
export function checkStaleIdle(draft: Draft, since: number, at: number): Draft {
  return listConnections(draft.pool, "idle")
    .filter((c) => c.lastActivityAt <= since)
    .reduce((next, c) => checkIdle(next, c, at), draft);
}

/** Finds what has been silent for too long, and forgets what is gone. */
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
