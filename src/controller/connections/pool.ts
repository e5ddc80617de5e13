import type { Connection, ConnectionEffect, ConnectionSettings, Pool } from "./types.js";

/** A state on its way through a step, with the effects so far. */
export interface Draft {
  readonly pool: Pool;
  readonly effects: readonly ConnectionEffect[];
}

/** What holds unless an owner sets something else. */
export const defaultConnectionSettings: Omit<ConnectionSettings, "limit" | "largestShare"> = {
  controlReserve: 2,
  openingAtOnce: 2,
  openTimeoutMs: 1000,
  progressTimeoutMs: 10_000,
  suspicionMs: 1000,
  checkAfterIdleMs: 15_000,
  checkTimeoutMs: 250,
  keptIdle: 5,
  idleCloseMs: 30_000,
  lingerMs: 1000,
  growEveryMs: 250,
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
  const free = known.limit - known.controlReserve;
  const largestShare = Math.max(1, Math.min(free, settings.largestShare ?? Math.floor(free / 2)));
  const share = Math.max(1, Math.min(largestShare, free - largestShare));
  return {
    settings: { ...known, largestShare },
    connections: {},
    waiters: [],
    nextId: 1,
    share,
    growAt: 0,
    openNotBefore: 0,
    backoffMs: known.firstBackoffMs,
    lastFailure: undefined,
    isDraining: false,
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

/** The connections that the target may count against its limit. */
export function countHeld(pool: Pool): number {
  return Object.keys(pool.connections).length;
}

/** The connections that are not closed. */
export function countLive(pool: Pool): number {
  return countHeld(pool) - listConnections(pool, "closed").length;
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
export function withPool(draft: Draft, change: Partial<Pool>): Draft {
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
