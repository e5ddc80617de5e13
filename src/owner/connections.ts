import { serialize } from "pg-protocol";
import {
  TargetPool,
  type ConnectionTaken,
  type HeldConnection,
  type PoolPorts,
} from "../capacity/index.js";
import type { Clock, Target, TargetConnector, TargetSession } from "../model/index.js";
import { OpenError } from "../target/index.js";

const tooManyConnectionsState = "53300";

/** The connections to one PostgreSQL target. */
export type PgPool = TargetPool<TargetSession>;

/** What came of asking for a PostgreSQL connection. */
export type PgConnectionTaken = ConnectionTaken<TargetSession>;

/** A PostgreSQL connection held by one request or transaction. */
export type PgConnection = HeldConnection<TargetSession>;

/** Creates the pool of PostgreSQL connections to a target. */
export function createPgPool(
  target: Target,
  database: string,
  connector: TargetConnector,
  clock: Clock,
): PgPool {
  const ports: PoolPorts<TargetSession> = {
    open: (timeoutMs) => connector.open(target, database, timeoutMs),
    check: checkSession,
    isTooMany: (error) => error instanceof OpenError && error.sqlState === tooManyConnectionsState,
  };
  return new TargetPool(ports, clock, { settings: { limit: target.connections } });
}

async function checkSession(session: TargetSession, signal: AbortSignal): Promise<boolean> {
  const result = await session.exchange(serialize.sync(), () => undefined, signal);
  return result.type === "ready" && result.status === "I";
}
