import type { Connection, ConnectionEffect, ConnectionSettings, Pool, Waiter } from "./types.js";

/** The pool within a step, with the effects so far. */
export interface Draft {
  readonly pool: Pool;
  readonly effects: readonly ConnectionEffect[];
}

/** The defaults of the connection settings. */
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
 * Creates a pool without connections; the first `ask` opens one. It starts with the share that no
 * predecessor can hold, because the connections of a dead owner may count at the target for as long
 * as a TCP timeout.
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

/** Computes the maximum share of the free connections, and the initial one. */
function computeShares(free: number, settings: { readonly maxShare?: number }) {
  const maxShare = Math.max(1, Math.min(free, settings.maxShare ?? Math.floor(free / 2)));
  return { maxShare, share: Math.max(1, Math.min(maxShare, free - maxShare)) };
}

/**
 * Changes the limit and the maximum share of a pool. Connections beyond them are closed as they
 * become idle.
 */
export function resizePool(pool: Pool, limit: number, maxShare: number): Pool {
  const divided = computeShares(limit - pool.settings.controlReserve, { maxShare });
  return {
    ...pool,
    settings: { ...pool.settings, limit, maxShare: divided.maxShare },
    initialShare: divided.share,
    share: Math.max(divided.share, Math.min(pool.share, divided.maxShare)),
  };
}

/** The connections in one state, in the order in which they were opened. */
export function listConnections<T extends Connection["type"]>(
  pool: Pool,
  type: T,
): readonly Extract<Connection, { type: T }>[] {
  return Object.values(pool.connections).filter(
    (c): c is Extract<Connection, { type: T }> => c.type === type,
  );
}

/**
 * The waiters, in their order, for whom no connection of their team is pending in one of the given
 * states.
 */
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

/**
 * The number of connections that the target may count against its limit, which includes recently
 * closed ones.
 */
export function countAgainstLimit(pool: Pool): number {
  return Object.keys(pool.connections).length;
}

/** The number of connections that are not closed, which includes those being opened. */
export function countLive(pool: Pool): number {
  return countAgainstLimit(pool) - listConnections(pool, "closed").length;
}

/** Adds a connection, or replaces its state. */
export function putConnection(draft: Draft, connection: Connection): Draft {
  const connections = { ...draft.pool.connections, [connection.id]: connection };
  return { ...draft, pool: { ...draft.pool, connections } };
}

/** Removes a connection. An unknown id is ignored. */
export function removeConnection(draft: Draft, id: string): Draft {
  const { [id]: removed, ...connections } = draft.pool.connections;
  return removed === undefined ? draft : { ...draft, pool: { ...draft.pool, connections } };
}

/** Appends an effect. */
export function addEffect(draft: Draft, effect: ConnectionEffect): Draft {
  return { ...draft, effects: [...draft.effects, effect] };
}

/** Changes fields of the pool other than its connections. */
export function updatePool(draft: Draft, change: Partial<Pool>): Draft {
  return { ...draft, pool: { ...draft.pool, ...change } };
}

/**
 * Closes a connection. It counts against the share until it is known to be gone or `lingerMs` has
 * passed.
 */
export function closeConnection(
  draft: Draft,
  id: string,
  reason: Extract<ConnectionEffect, { type: "close" }>["reason"],
  at: number,
): Draft {
  const closed = putConnection(draft, { type: "closed", id, closedAt: at });
  return addEffect(closed, { type: "close", connection: id, reason });
}
