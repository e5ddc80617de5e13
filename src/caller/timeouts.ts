import { type CallerError, sqlStates } from "./errors.js";
import type { CallerLimits } from "./limits.js";

/** The state of a connection that its time limits depend on. Times in milliseconds. */
export interface ConnectionActivity {
  readonly state: "starting" | "running" | "idle" | "closing";
  readonly isInTransaction: boolean;
  /** Whether a message has arrived only in part. */
  readonly hasPartialMessage: boolean;
  /** Time since the last byte was received or the last answer ended. */
  readonly inactiveMs: number;
  /** Time for which the caller has left buffered output unread. */
  readonly writeBlockedMs: number;
}

/** Finds the time limit that a connection exceeds, as the error for its caller. */
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

const unreadAnswer = createFatalError(
  sqlStates.idleSession,
  "the caller did not read its answer in time",
);
const startupTimeout = createFatalError(sqlStates.protocolViolation, "the start-up took too long");
const messageTimeout = createFatalError(
  sqlStates.protocolViolation,
  "the rest of a message did not arrive in time",
);
const idleTransactionTimeout = createFatalError(
  sqlStates.idleInTransaction,
  "a transaction was idle for too long",
);
const idleSessionTimeout = createFatalError(
  sqlStates.idleSession,
  "the session was idle for too long",
);
