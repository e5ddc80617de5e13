import { assertInvariant } from "../../model/index.js";
import { openForWaiters } from "./open.js";
import {
  addEffect,
  closeConnection,
  countLive,
  listConnections,
  listUnservedWaiters,
  putConnection,
  updatePool,
  type Draft,
} from "./pool.js";
import { checkIdle } from "./liveness.js";
import type { Connection, ConnectionEffect, Pool, Waiter } from "./types.js";

const minRetryMs = 10;
const drainingRetryMs = 100;

/**
 * Grants idle connections to waiters, checks or opens more for the others, and refuses waiters that
 * no connection can serve in time.
 */
export function serveWaiters(draft: Draft, at: number): Draft {
  let next = draft;
  for (const waiter of draft.pool.waiters) {
    const connection = findUsableIdle(next.pool, waiter.team, at);
    if (connection !== undefined) next = grantConnection(next, waiter, connection, at);
  }
  next = openForWaiters(checkIdleForWaiters(next, at), at);
  return refuseUnservable(next, at);
}

/**
 * The most recently used idle connection of a team that needs no check. The others are left to
 * reach their idle timeout.
 */
function findUsableIdle(pool: Pool, team: string, at: number) {
  return listConnections(pool, "idle")
    .filter((c) => c.team === team && at - c.lastActivityAt < pool.settings.checkAfterIdleMs)
    .sort((a, b) => b.lastActivityAt - a.lastActivityAt)[0];
}

function grantConnection(
  draft: Draft,
  waiter: Waiter,
  connection: Extract<Connection, { type: "idle" }>,
  at: number,
): Draft {
  const { id, team, lastActivityAt } = connection;
  const holder = draft.pool.connections[id];
  assertInvariant(
    "oneTransactionPerConnection",
    holder?.type === "idle",
    () => `connection ${id} is ${holder?.type ?? "unknown"} when granted to ${waiter.id}`,
  );
  const active: Connection = {
    type: "active",
    id,
    team,
    waiter: waiter.id,
    lastActivityAt: Math.max(lastActivityAt, at),
  };
  const held = putConnection(draft, active);
  const left = updatePool(held, {
    waiters: draft.pool.waiters.filter(({ id }) => id !== waiter.id),
  });
  return addEffect(left, { type: "grant", waiter: waiter.id, connection: id });
}

/**
 * Checks idle connections that are too old to be granted unchecked. They are tried before new ones
 * are opened, because a check takes one round trip and an opening about 12 ms.
 */
function checkIdleForWaiters(draft: Draft, at: number): Draft {
  let next = draft;
  for (const { team } of listUnservedWaiters(draft.pool, ["suspect"])) {
    const old = listConnections(next.pool, "idle").find((c) => c.team === team);
    if (old !== undefined) next = checkIdle(next, old, at);
  }
  return next;
}

/** Refuses waiters at once when no connection can serve them in time. */
function refuseUnservable(draft: Draft, at: number): Draft {
  const refusals = draft.pool.waiters.flatMap((w) => findRefusal(draft.pool, w, at) ?? []);
  if (refusals.length === 0) return draft;
  const refused = new Set(refusals.map((r) => r.waiter));
  const waiters = draft.pool.waiters.filter((w) => !refused.has(w.id));
  return refusals.reduce(addEffect, updatePool(draft, { waiters }));
}

type Refusal = Extract<ConnectionEffect, { type: "refuse" }>;

function findRefusal(pool: Pool, waiter: Waiter, at: number): Refusal | undefined {
  const base = { type: "refuse", waiter: waiter.id } as const;
  if (pool.isDraining) return { ...base, reason: "draining", retryAfterMs: drainingRetryMs };
  if (waiter.deadlineAt <= at) {
    return { ...base, reason: "deadline", retryAfterMs: minRetryMs };
  }
  if (countLive(pool) > 0 || pool.lastFailure === undefined || at >= pool.nextOpenAt)
    return undefined;
  const reason = pool.lastFailure === "tooMany" ? "tooManyConnections" : "noConnection";
  const retryAfterMs = Math.max(minRetryMs, Math.ceil(pool.nextOpenAt - at));
  return { ...base, reason, retryAfterMs };
}

/**
 * Closes idle connections beyond `minIdle`: those past the idle timeout, or all of them while the
 * pool exceeds its share. While draining, closes every idle connection.
 */
export function closeSurplus(draft: Draft, at: number): Draft {
  const { isDraining, settings } = draft.pool;
  const idle = listConnections(draft.pool, "idle").toSorted((a, b) => a.idleSince - b.idleSince);
  if (isDraining) {
    return idle.reduce((next, c) => closeConnection(next, c.id, "draining", at), draft);
  }
  const surplus = idle.slice(0, Math.max(0, idle.length - settings.minIdle));
  const old = surplus.filter((c) => at - c.idleSince >= settings.idleTimeoutMs);
  const isOver = countLive(draft.pool) > draft.pool.share;
  const over = isOver ? surplus : old;
  const closed = over.reduce((next, c) => closeConnection(next, c.id, "surplus", at), draft);
  return over.length === 0 || isOver ? closed : shrinkShare(closed);
}

/**
 * Lowers a share that has grown to the number of connections that are left, but not below the
 * initial share. Other owners may need the places.
 */
function shrinkShare(draft: Draft): Draft {
  const { initialShare, share } = draft.pool;
  return updatePool(draft, {
    share: Math.min(share, Math.max(initialShare, countLive(draft.pool))),
  });
}
