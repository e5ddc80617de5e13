import { type CallerError, sqlStates } from "./errors.js";
import type { CallerLimits } from "./limits.js";

/** What a connection is doing, as far as limits in time look at it. Times in milliseconds. */
export interface ConnectionActivity {
  readonly state: "starting" | "running" | "idle" | "ending";
  readonly isInTransaction: boolean;
  /** Whether a message has begun and not ended. */
  readonly isPartial: boolean;
  /** Since the last byte came or the last answer ended. */
  readonly quietMs: number;
  /** For how long the caller has not read what waits for it. */
  readonly blockedMs: number;
}

/** The limit that a connection has overstepped, as its caller is told. */
export function findExpired(
  activity: ConnectionActivity,
  limits: CallerLimits,
): CallerError | undefined {
  const { state, quietMs, blockedMs } = activity;
  if (blockedMs > limits.writeStallMs) return unread;
  switch (state) {
    case "starting":
      return quietMs > limits.startupMs ? lateStartup : undefined;
    case "running":
      return undefined;
    case "ending":
      return quietMs > limits.writeStallMs ? unread : undefined;
    case "idle":
      return findIdle(activity, limits);
  }
}

function findIdle(
  { isPartial, isInTransaction, quietMs }: ConnectionActivity,
  limits: CallerLimits,
): CallerError | undefined {
  if (isPartial && quietMs > limits.messageStallMs) return lateMessage;
  if (isInTransaction && quietMs > limits.idleInTransactionMs) return idleTransaction;
  return quietMs > limits.idleMs ? idleSession : undefined;
}

const describe = (code: string, message: string): CallerError => ({
  severity: "FATAL",
  code,
  message,
});

const unread = describe(sqlStates.idleSession, "the caller does not read its answer");
const lateStartup = describe(sqlStates.protocolViolation, "the start-up took too long");
const lateMessage = describe(sqlStates.protocolViolation, "the rest of a message did not come");
const idleTransaction = describe(
  sqlStates.idleInTransaction,
  "a transaction was idle for too long",
);
const idleSession = describe(sqlStates.idleSession, "the session was idle for too long");
