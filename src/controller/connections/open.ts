import {
  addEffect,
  countAgainstLimit,
  listConnections,
  listUnservedWaiters,
  putConnection,
  removeConnection,
  updatePool,
  type Draft,
} from "./pool.js";
import type { Pool } from "./types.js";

/**
 * Opens connections for waiters, within the share and at most `maxOpening` at a time. If all were
 * opened at once they would queue up at the target, and each would take longer to open.
 */
export function openForWaiters(draft: Draft, at: number): Draft {
  let next = growShare(draft, at);
  for (;;) {
    const [waiter] = listUnservedWaiters(next.pool, ["opening", "suspect"]);
    if (waiter === undefined || !canOpen(next.pool, at)) return next;
    const placed = makeRoom(next);
    if (placed === undefined) return next;
    next = openConnection(placed, waiter.team, at);
  }
}

/**
 * Records that a connection could not be opened, and doubles the delay before the next attempt.
 * After SQLSTATE 53300 the share is lowered to the connections that count against the limit: those
 * of a dead owner still count at the target, and opening faster than they close causes nothing but
 * refusals.
 */
export function recordOpenFailure(draft: Draft, reason: "tooMany" | "failed", at: number): Draft {
  const { settings, backoffMs, share } = draft.pool;
  const heldCount = Math.max(1, countAgainstLimit(draft.pool));
  return updatePool(draft, {
    share: reason === "tooMany" ? Math.min(share, heldCount) : share,
    nextGrowthAt: at + backoffMs,
    nextOpenAt: at + backoffMs,
    backoffMs: Math.min(settings.longestBackoffMs, backoffMs * 2),
    lastFailure: reason,
  });
}

/** Records that a connection was opened, and resets the backoff. */
export function recordOpenSuccess(draft: Draft): Draft {
  return updatePool(draft, {
    backoffMs: draft.pool.settings.firstBackoffMs,
    lastFailure: undefined,
  });
}

/** Raises the share by one at intervals, while it keeps the first waiter waiting. */
function growShare(draft: Draft, at: number): Draft {
  const { pool } = draft;
  const [first] = pool.waiters;
  const hasWaited = first !== undefined && at - first.since >= pool.settings.growAfterMs;
  const isLimitedByShare = hasWaited && countAgainstLimit(pool) >= pool.share;
  if (!isLimitedByShare || at < pool.nextGrowthAt || pool.share >= pool.settings.maxShare)
    return draft;
  return updatePool(draft, {
    share: pool.share + 1,
    nextGrowthAt: at + pool.settings.growIntervalMs,
  });
}

function canOpen(pool: Pool, at: number): boolean {
  const opening = listConnections(pool, "opening").length;
  return !pool.isDraining && opening < pool.settings.maxOpening && at >= pool.nextOpenAt;
}

/**
 * Makes room for one more connection: within the share, or by closing the least recently used idle
 * connection of a team without waiters. Such a connection has nothing in flight, and its end
 * reaches the target before the opening that follows on the same route, so that it stops counting
 * at once. Returns `undefined` if there is no room.
 */
function makeRoom(draft: Draft): Draft | undefined {
  const { pool } = draft;
  if (countAgainstLimit(pool) < pool.share) return draft;
  const wanted = new Set(pool.waiters.map(({ team }) => team));
  const [oldest] = listConnections(pool, "idle")
    .filter(({ team }) => !wanted.has(team))
    .sort((a, b) => a.lastActivityAt - b.lastActivityAt);
  if (oldest === undefined) return undefined;
  const effect = { type: "close", connection: oldest.id, reason: "replaced" } as const;
  return addEffect(removeConnection(draft, oldest.id), effect);
}

function openConnection(draft: Draft, team: string, at: number): Draft {
  const id = String(draft.pool.nextId);
  const counted = updatePool(draft, { nextId: draft.pool.nextId + 1 });
  const opening = putConnection(counted, { type: "opening", id, team, since: at });
  return addEffect(opening, { type: "open", connection: id, team });
}
