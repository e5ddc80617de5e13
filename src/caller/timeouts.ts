import { type CallerError, sqlStates } from "./errors.js";
import type { CallerLimits } from "./limits.js";

/** What a connection is doing, as far as limits in time look at it. Times in milliseconds. */
export interface ConnectionActivity {
  readonly state: "starting" | "running" | "idle" | "closing";
  readonly isInTransaction: boolean;
  /** Whether a message has begun and not ended. */
  readonly hasPartialMessage: boolean;
  /** Since the last byte came or the last answer ended. */
  readonly inactiveMs: number;
  /** For how long the caller has not read what waits for it. */
  readonly writeBlockedMs: number;
}

/** The limit that a connection has overstepped, as its caller is told. */
export function findTimeoutError(
  activity: ConnectionActivity,
  limits: CallerLimits,
): CallerError | undefined {
  const { state, inactiveMs, writeBlockedMs } = activity;
  if (writeBlockedMs > limits.writeStallMs) return unreadAnswer;
  switch (state) {
    case "starting":
      return inactiveMs > limits.startupMs ? startupTimeout : undefined;
    case "running":
      return undefined;
    case "closing":
      return inactiveMs > limits.writeStallMs ? unreadAnswer : undefined;
    case "idle":
      return findIdleTimeoutError(activity, limits);
  }
}

function findIdleTimeoutError(
  { hasPartialMessage, isInTransaction, inactiveMs }: ConnectionActivity,
  limits: CallerLimits,
): CallerError | undefined {
  if (hasPartialMessage && inactiveMs > limits.messageStallMs) return messageTimeout;
  if (isInTransaction && inactiveMs > limits.idleInTransactionMs) return idleTransactionTimeout;
  return inactiveMs > limits.idleMs ? idleSessionTimeout : undefined;
}

const createFatalError = (code: string, message: string): CallerError => ({
  severity: "FATAL",
  code,
  message,
});

const unreadAnswer = createFatalError(sqlStates.idleSession, "the caller does not read its answer");
const startupTimeout = createFatalError(sqlStates.protocolViolation, "the start-up took too long");
const messageTimeout = createFatalError(
  sqlStates.protocolViolation,
  "the rest of a message did not come",
);
const idleTransactionTimeout = createFatalError(
  sqlStates.idleInTransaction,
  "a transaction was idle for too long",
);
const idleSessionTimeout = createFatalError(
  sqlStates.idleSession,
  "the session was idle for too long",
);
