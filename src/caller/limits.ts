import { defaultSessionLimits, type SessionLimits } from "../session/index.js";

/** Limits on connections, memory and time for callers. Times in milliseconds. */
export interface CallerLimits extends SessionLimits {
  readonly maxConnections: number;
  readonly maxConnectionsPerTeam: number;
  /** Bytes of one message, and of all messages before a `Sync`. */
  readonly maxMessageBytes: number;
  /** Bytes of requests that all callers together may have waiting in this process. */
  readonly maxInputBytes: number;
  /** From the connection to the end of the start-up, including TLS. */
  readonly startupMs: number;
  readonly idleMs: number;
  /** Idle time of an open transaction, which occupies a connection to a target. */
  readonly idleInTransactionMs: number;
  /** Time without input in the middle of a message. */
  readonly messageStallMs: number;
  /** Time for which a caller may leave an answer unread. */
  readonly writeStallMs: number;
  /** Time for requests and transactions in flight to finish once draining begins. */
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
