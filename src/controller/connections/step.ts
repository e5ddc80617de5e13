import { fail, succeed, type Applied } from "../../model/index.js";
import { closeSurplus, serveWaiters } from "./grant.js";
import { recordOpenFailure, recordOpenSuccess } from "./open.js";
import {
  addEffect,
  closeConnection,
  listConnections,
  putConnection,
  removeConnection,
  resizePool,
  updatePool,
  type Draft,
} from "./pool.js";
import { checkStaleIdle, applyTimeouts } from "./liveness.js";
import type {
  Connection,
  ConnectionEffect,
  ConnectionEvent,
  ConnectionFailure,
  Pool,
} from "./types.js";

/** The result of applying one event. */
export type ConnectionResult = Applied<Pool, ConnectionEffect, ConnectionFailure>;

/**
 * Applies one event to the connections of a target, then serves waiters and closes surplus
 * connections.
 */
export function applyConnections(pool: Pool, event: ConnectionEvent): ConnectionResult {
  const handled = handleEvent({ pool, effects: [] }, event);
  if (typeof handled === "string") return fail(handled);
  const served = closeSurplus(serveWaiters(handled, event.at), event.at);
  return succeed(served.pool, served.effects);
}

function handleEvent(draft: Draft, event: ConnectionEvent): Draft | ConnectionFailure {
  switch (event.type) {
    case "ask":
      return addWaiter(draft, event.waiter, event);
    case "giveUp":
      return giveUp(draft, event.waiter, event.at);
    case "tick":
      return applyTimeouts(draft, event.at);
    case "full": {
      const { nextGrowthAt, settings } = draft.pool;
      return updatePool(draft, {
        nextGrowthAt: Math.max(nextGrowthAt, event.at + settings.growPauseWhenFullMs),
      });
    }
    case "resize":
      return updatePool(draft, resizePool(draft.pool, event.limit, event.maxShare));
    case "drain":
      return updatePool(draft, { isDraining: true });
    case "countOthers": {
      const { limit, controlReserve, maxShare } = draft.pool.settings;
      const free = limit - controlReserve - event.others;
      return updatePool(draft, { share: Math.max(1, Math.min(maxShare, free)) });
    }
    case "opened":
    case "openFailed":
    case "progress":
    case "ready":
    case "broken":
    case "checked":
    case "gone": {
      const connection = draft.pool.connections[event.connection];
      return connection === undefined
        ? "unknownConnection"
        : handleConnection(draft, connection, event);
    }
  }
}

type LiveConnection = Exclude<Connection, { type: "closed" }>;

type SingleConnectionEvent = Extract<ConnectionEvent, { readonly connection: string }>;

function handleConnection(
  draft: Draft,
  connection: Connection,
  event: SingleConnectionEvent,
): Draft {
  if (connection.type === "closed") return handleClosed(draft, connection.id, event);
  switch (event.type) {
    case "opened":
      return connection.type === "opening" ? handleOpened(draft, connection, event.at) : draft;
    case "openFailed":
      return connection.type === "opening"
        ? recordOpenFailure(removeConnection(draft, connection.id), event.reason, event.at)
        : handleBroken(draft, connection, event.at);
    case "progress":
      return connection.type === "active"
        ? putConnection(draft, { ...connection, lastActivityAt: event.at })
        : draft;
    case "ready":
      return handleReady(draft, connection, event);
    case "broken":
    case "gone":
      return handleBroken(draft, connection, event.at);
    case "checked":
      return handleChecked(draft, connection, event);
  }
}

/**
 * Handles a late event of a connection that the owner has closed. It only shows whether the target
 * has dropped the connection.
 */
function handleClosed(draft: Draft, id: string, event: SingleConnectionEvent): Draft {
  switch (event.type) {
    case "broken":
    case "gone":
    case "openFailed":
      return removeConnection(draft, id);
    case "opened":
    case "progress":
    case "ready":
    case "checked":
      return draft;
  }
}

function addWaiter(
  draft: Draft,
  id: string,
  { at, deadlineAt, team = "" }: Extract<ConnectionEvent, { type: "ask" }>,
): Draft | ConnectionFailure {
  const { waiters } = draft.pool;
  const isHolder = listConnections(draft.pool, "active").some((c) => c.waiter === id);
  if (isHolder || waiters.some((w) => w.id === id)) return "duplicateWaiter";
  return updatePool(draft, { waiters: [...waiters, { id, team, since: at, deadlineAt }] });
}

/**
 * Removes a waiter, or closes the connection that it holds. The answer to an abandoned statement
 * may still arrive, and if the connection were reused, the next caller would receive it as its own.
 */
function giveUp(draft: Draft, waiter: string, at: number): Draft | ConnectionFailure {
  const { waiters, settings } = draft.pool;
  const remaining = waiters.filter((w) => w.id !== waiter);
  if (remaining.length < waiters.length) return updatePool(draft, { waiters: remaining });
  const held = listConnections(draft.pool, "active").find((c) => c.waiter === waiter);
  if (held === undefined) return "unknownWaiter";
  const closed = closeConnection(draft, held.id, "abandoned", at);
  const hasBeenSilent = at - held.lastActivityAt >= settings.abandonedSilenceMs;
  return hasBeenSilent ? checkStaleIdle(closed, held.lastActivityAt, at) : closed;
}

function handleOpened(draft: Draft, { id, team }: LiveConnection, at: number): Draft {
  return putConnection(recordOpenSuccess(draft), {
    type: "idle",
    id,
    team,
    lastActivityAt: at,
    idleSince: at,
  });
}

/**
 * Returns a connection to the pool only when its exchange is complete: no transaction is open and
 * nothing is in flight.
 */
function handleReady(
  draft: Draft,
  connection: LiveConnection,
  event: Extract<ConnectionEvent, { type: "ready" }>,
): Draft {
  const { id, team } = connection;
  if (connection.type !== "active") return closeConnection(draft, id, "unexpectedReady", event.at);
  const isOver = event.status === "I" && event.inFlight === 0;
  if (!isOver) return putConnection(draft, { ...connection, lastActivityAt: event.at });
  return putConnection(draft, {
    type: "idle",
    id,
    team,
    lastActivityAt: event.at,
    idleSince: event.at,
  });
}

function handleBroken(draft: Draft, connection: Connection, at: number): Draft {
  const without = removeConnection(draft, connection.id);
  switch (connection.type) {
    case "active":
      return addEffect(without, {
        type: "lose",
        waiter: connection.waiter,
        connection: connection.id,
      });
    case "opening":
      return recordOpenFailure(without, "failed", at);
    case "idle":
    case "suspect":
    case "closed":
      return without;
  }
}

function handleChecked(
  draft: Draft,
  connection: Connection,
  event: Extract<ConnectionEvent, { type: "checked" }>,
): Draft {
  if (connection.type !== "suspect") return draft;
  const { id, team, idleSince, checkStartedAt } = connection;
  if (event.isAlive) {
    return putConnection(draft, { type: "idle", id, team, lastActivityAt: event.at, idleSince });
  }
  return checkStaleIdle(closeConnection(draft, id, "silent", event.at), checkStartedAt, event.at);
}
