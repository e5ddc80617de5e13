import {
  addEffect,
  countHeld,
  listConnections,
  putConnection,
  withPool,
  type Draft,
} from "./pool.js";
import type { Pool } from "./types.js";

/**
 * Opens connections for those who wait, a few at a time and within the share. All at once they would
 * queue up at the target, and each would take the longer to open.
 */
export function openForWaiters(draft: Draft, at: number): Draft {
  let next = grow(draft, at);
  while (shouldOpen(next.pool, at)) next = openOne(next, at);
  return next;
}

/**
 * Notes that a connection could not be opened, and waits the longer before the next try the more
 * often that happened. After 53300 the share falls back to what is open: a dead owner's connections
 * still count at the target, and asking faster than they close gets nothing but refusals.
 */
export function noteOpenFailure(draft: Draft, reason: "tooMany" | "failed", at: number): Draft {
  const { settings, backoffMs, share } = draft.pool;
  const held = Math.max(1, countHeld(draft.pool));
  return withPool(draft, {
    share: reason === "tooMany" ? Math.min(share, held) : share,
    growAt: at + backoffMs,
    openNotBefore: at + backoffMs,
    backoffMs: Math.min(settings.longestBackoffMs, backoffMs * 2),
    lastFailure: reason,
  });
}

/** Notes that a connection was opened. */
export function noteOpenSuccess(draft: Draft): Draft {
  return withPool(draft, {
    backoffMs: draft.pool.settings.firstBackoffMs,
    lastFailure: undefined,
  });
}

/** While somebody waits for what the share forbids, the share grows by one from time to time. */
function grow(draft: Draft, at: number): Draft {
  const { pool } = draft;
  const [first] = pool.waiters;
  const hasWaited = first !== undefined && at - first.since >= pool.settings.growAfterMs;
  const isBound = hasWaited && countHeld(pool) >= pool.share;
  if (!isBound || at < pool.growAt || pool.share >= pool.settings.largestShare) return draft;
  return withPool(draft, { share: pool.share + 1, growAt: at + pool.settings.growEveryMs });
}

function shouldOpen(pool: Pool, at: number): boolean {
  const opening = listConnections(pool, "opening").length;
  const coming = opening + listConnections(pool, "suspect").length;
  return (
    !pool.isDraining &&
    coming < pool.waiters.length &&
    opening < pool.settings.openingAtOnce &&
    countHeld(pool) < pool.share &&
    at >= pool.openNotBefore
  );
}

function openOne(draft: Draft, at: number): Draft {
  const id = String(draft.pool.nextId);
  const counted = withPool(draft, { nextId: draft.pool.nextId + 1 });
  const opening = putConnection(counted, { type: "opening", id, since: at });
  return addEffect(opening, { type: "open", connection: id });
}
