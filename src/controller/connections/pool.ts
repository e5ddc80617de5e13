import type { Connection, ConnectionEffect, ConnectionSettings, Pool, Waiter } from "./types.js";

/** A state on its way through a step, with the effects so far. */
export interface Draft {
  readonly pool: Pool;
  readonly effects: readonly ConnectionEffect[];
}

/** What holds unless an owner sets something else. */
export const defaultConnectionSettings: Omit<ConnectionSettings, "limit" | "maxShare"> = {
  controlReserve: 2,
  maxOpening: 2,
  openTimeoutMs: 1000,
  progressTimeoutMs: 10_000,
  abandonedSilenceMs: 1000,
  checkAfterIdleMs: 15_000,
  checkTimeoutMs: 250,
  minIdle: 5,
  idleTimeoutMs: 30_000,
  lingerMs: 1000,
  growIntervalMs: 250,
  growAfterMs: 0,
  growPauseWhenFullMs: 500,
  growNotBefore: 0,
  firstBackoffMs: 100,
  longestBackoffMs: 5000,
};

/**
 * A pool without connections; the first `ask` opens one. It starts with the share that no predecessor
 * can hold: a dead owner's connections may count at the target for as long as a TCP timeout.
 */
export function createPool(
  settings: Partial<ConnectionSettings> & Pick<ConnectionSettings, "limit">,
): Pool {
  const known = { ...defaultConnectionSettings, ...settings };
  const { maxShare, share } = computeShares(known.limit - known.controlReserve, settings);
  return {
    settings: { ...known, maxShare },
    connections: {},
    waiters: [],
    nextId: 1,
    share,
    nextGrowthAt: known.growNotBefore,
    initialShare: share,
    nextOpenAt: 0,
    backoffMs: known.firstBackoffMs,
    lastFailure: undefined,
    isDraining: false,
  };
}

/** The largest share of the free connections, and the one to begin with. */
function computeShares(free: number, settings: { readonly maxShare?: number }) {
  const maxShare = Math.max(1, Math.min(free, settings.maxShare ?? Math.floor(free / 2)));
  return { maxShare, share: Math.max(1, Math.min(maxShare, free - maxShare)) };
}

/** The pool with another limit and largest share. What is open beyond them closes as it comes free. */
export function resizePool(pool: Pool, limit: number, maxShare: number): Pool {
  const divided = computeShares(limit - pool.settings.controlReserve, { maxShare });
  return {
    ...pool,
    settings: { ...pool.settings, limit, maxShare: divided.maxShare },
    initialShare: divided.share,
    share: Math.max(divided.share, Math.min(pool.share, divided.maxShare)),
  };
}

/** The connections of one kind, in the order in which they were opened. */
export function listConnections<T extends Connection["type"]>(
  pool: Pool,
  type: T,
): readonly Extract<Connection, { type: T }>[] {
  return Object.values(pool.connections).filter(
    (c): c is Extract<Connection, { type: T }> => c.type === type,
  );
}

/** Waiters for whom no connection of their team is on its way in one of these states, in their order. */
export function listUnservedWaiters(
  pool: Pool,
  pendingTypes: readonly ("opening" | "suspect")[],
): readonly Waiter[] {
  if (pool.waiters.length === 0) return pool.waiters;
  const counts = new Map<string, number>();
  for (const { team } of pendingTypes.flatMap((type) => listConnections(pool, type))) {
    counts.set(team, (counts.get(team) ?? 0) + 1);
  }
  return pool.waiters.filter(({ team }) => {
    const left = counts.get(team) ?? 0;
    counts.set(team, left - 1);
    return left <= 0;
  });
}

/** The connections that the target may count against its limit. */
export function countAgainstLimit(pool: Pool): number {
  return Object.keys(pool.connections).length;
}

/** The connections that are not closed. */
export function countLive(pool: Pool): number {
  return countAgainstLimit(pool) - listConnections(pool, "closed").length;
}

/** The draft with a connection in a new state. */
export function putConnection(draft: Draft, connection: Connection): Draft {
  const connections = { ...draft.pool.connections, [connection.id]: connection };
  return { ...draft, pool: { ...draft.pool, connections } };
}

/** The draft without a connection. */
export function removeConnection(draft: Draft, id: string): Draft {
  const { [id]: removed, ...connections } = draft.pool.connections;
  return removed === undefined ? draft : { ...draft, pool: { ...draft.pool, connections } };
}

/** The draft with one more effect. */
export function addEffect(draft: Draft, effect: ConnectionEffect): Draft {
  return { ...draft, effects: [...draft.effects, effect] };
}

/** The draft with something changed that is no connection. */
export function updatePool(draft: Draft, change: Partial<Pool>): Draft {
  return { ...draft, pool: { ...draft.pool, ...change } };
}

/** Closes a connection; it counts until it is gone or its time to linger is over. */
export function closeConnection(
  draft: Draft,
  id: string,
  reason: Extract<ConnectionEffect, { type: "close" }>["reason"],
  at: number,
): Draft {
  const closed = putConnection(draft, { type: "closed", id, closedAt: at });
  return addEffect(closed, { type: "close", connection: id, reason });
}
