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
 * Opens connections for those who wait, a few at a time and within the share. All at once they would
 * queue up at the target, and each would take the longer to open.
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
 * Notes that a connection could not be opened, and waits the longer before the next try the more
 * often that happened. After 53300 the share falls back to what is open: a dead owner's connections
 * still count at the target, and asking faster than they close gets nothing but refusals.
 */
export function recordOpenFailure(draft: Draft, reason: "tooMany" | "failed", at: number): Draft {
  const { settings, backoffMs, share } = draft.pool;
  const counted = Math.max(1, countAgainstLimit(draft.pool));
  return updatePool(draft, {
    share: reason === "tooMany" ? Math.min(share, counted) : share,
    nextGrowthAt: at + backoffMs,
    nextOpenAt: at + backoffMs,
    backoffMs: Math.min(settings.longestBackoffMs, backoffMs * 2),
    lastFailure: reason,
  });
}

/** Notes that a connection was opened. */
export function recordOpenSuccess(draft: Draft): Draft {
  return updatePool(draft, {
    backoffMs: draft.pool.settings.firstBackoffMs,
    lastFailure: undefined,
  });
}

/** While somebody waits for what the share forbids, the share grows by one from time to time. */
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
 * Room for one more connection: within the share, or in place of an idle one of another team, the one
 * whose last use is the longest ago. Nothing is in flight on an idle one, and its end reaches the target
 * before the opening that follows on the same way, so that it stops counting at once.
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
