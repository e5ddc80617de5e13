import { defaultSessionLimits, type SessionLimits } from "../session/index.js";

/** What callers may cost. Times in milliseconds. */
export interface CallerLimits extends SessionLimits {
  readonly maxConnections: number;
  readonly maxConnectionsPerTeam: number;
  /** Bytes of one message, and of all messages up to a `Sync`. */
  readonly maxMessageBytes: number;
  /** Bytes of requests that all callers together may have waiting here. */
  readonly maxInputBytes: number;
  /** From the connection to the end of the start-up, TLS included. */
  readonly startupMs: number;
  readonly idleMs: number;
  /** A transaction without a statement; it holds a connection to a target. */
  readonly idleInTransactionMs: number;
  /** A message of which the rest does not come. */
  readonly messageStallMs: number;
  /** An answer that the caller does not read. */
  readonly writeStallMs: number;
  /** Requests and transactions in flight when draining begins have this long to finish. */
  readonly drainMs: number;
}

/** Limits for a small entry VM. */
export const defaultCallerLimits: CallerLimits = {
  ...defaultSessionLimits,
  maxConnections: 5000,
  maxConnectionsPerTeam: 2000,
  maxMessageBytes: 16 * 1024 * 1024,
  maxInputBytes: 128 * 1024 * 1024,
  startupMs: 5_000,
  idleMs: 3_600_000,
  idleInTransactionMs: 60_000,
  messageStallMs: 10_000,
  writeStallMs: 15_000,
  drainMs: 30_000,
};
