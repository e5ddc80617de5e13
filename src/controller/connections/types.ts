import type { NotRunReason } from "../../model/index.js";

/** What an owner may set for the connections to one target. */
export interface ConnectionSettings {
  /** Connections that the target accepts from everybody. */
  readonly limit: number;
  /** Of these, kept for control. */
  readonly controlReserve: number;
  /**
   * The most that one owner opens. What is left of the limit is the share that is certainly free for
   * a successor; up to half, the two together never reach what control needs.
   */
  readonly maxShare: number;
  /** How many are opened at the same time. */
  readonly maxOpening: number;
  readonly openTimeoutMs: number;
  /** A statement without a byte of answer for this long sits on a silent connection. */
  readonly progressTimeoutMs: number;
  /** An abandoned statement counts as a sign of silence from this age on. */
  readonly abandonedSilenceMs: number;
  /** A connection that was idle for longer is checked before it is used. */
  readonly checkAfterIdleMs: number;
  readonly checkTimeoutMs: number;
  /** Idle connections beyond this number are closed after `idleCloseMs`. */
  readonly minIdle: number;
  readonly idleTimeoutMs: number;
  /** How long a closed connection still counts, unless it is seen to be gone. */
  readonly lingerMs: number;
  /** While somebody waits, the share grows by one in this time. */
  readonly growIntervalMs: number;
  /** The share grows only for somebody who has waited for this long, in milliseconds. */
  readonly growAfterMs: number;
  /** After a target was full the share does not grow for this long, in milliseconds. */
  readonly growPauseWhenFullMs: number;
  /** Until then the share does not grow, in milliseconds on the owner's clock. */
  readonly growNotBefore: number;
  readonly firstBackoffMs: number;
  readonly longestBackoffMs: number;
}

/**
 * One connection to the target. Times are on the owner's clock, in milliseconds. `team` is whom it was
 * opened for, the empty name where all may share it: it never serves another.
 */
export type Connection =
  | {
      readonly type: "opening";
      readonly id: string;
      readonly team: string;
      readonly since: number;
    }
  /** At the end of an exchange, nothing in flight. `lastSignAt`: the target's last byte. */
  | {
      readonly type: "idle";
      readonly id: string;
      readonly team: string;
      readonly lastActivityAt: number;
      readonly idleSince: number;
    }
  /** Held by one waiter, from its grant to `ReadyForQuery` idle. */
  | {
      readonly type: "active";
      readonly id: string;
      readonly team: string;
      readonly lastActivityAt: number;
      readonly waiter: string;
    }
  /** Being checked; nobody gets it before it has answered. */
  | {
      readonly type: "suspect";
      readonly id: string;
      readonly team: string;
      readonly lastActivityAt: number;
      readonly idleSince: number;
      readonly checkStartedAt: number;
    }
  /** Closed by the owner; the target may still count it. */
  | { readonly type: "closed"; readonly id: string; readonly closedAt: number };

/** Somebody who wants a connection. */
export interface Waiter {
  readonly id: string;
  /** Whose the connection must be; the empty name where all may share it. */
  readonly team: string;
  readonly since: number;
  readonly deadlineAt: number;
}

/** What happens to the connections of one target. `at` never goes back. */
export type ConnectionEvent =
  | {
      readonly type: "ask";
      readonly at: number;
      readonly waiter: string;
      /** Absent where all may share the connections. */
      readonly team?: string;
      readonly deadlineAt: number;
    }
  /** A waiter gives up: it leaves the line, or the connection that it holds is closed. */
  | { readonly type: "giveUp"; readonly at: number; readonly waiter: string }
  | { readonly type: "opened"; readonly at: number; readonly connection: string }
  /** `tooMany` is SQLSTATE 53300. */
  | {
      readonly type: "openFailed";
      readonly at: number;
      readonly connection: string;
      readonly reason: "tooMany" | "failed";
    }
  /** Bytes of an answer came. */
  | { readonly type: "progress"; readonly at: number; readonly connection: string }
  /** `ReadyForQuery` came; `inFlight` counts the further ones that are still owed. */
  | {
      readonly type: "ready";
      readonly at: number;
      readonly connection: string;
      readonly status: "I" | "T" | "E";
      readonly inFlight: number;
    }
  /** The target or the network closed it. */
  | { readonly type: "broken"; readonly at: number; readonly connection: string }
  | {
      readonly type: "checked";
      readonly at: number;
      readonly connection: string;
      readonly isAlive: boolean;
    }
  /** A closed connection is known to be gone at the target too. */
  | { readonly type: "gone"; readonly at: number; readonly connection: string }
  /** The target was seen to have this many connections of other owners. */
  | { readonly type: "countOthers"; readonly at: number; readonly others: number }
  /** The target works on all that it can: more connections would get nothing but refusals. */
  | { readonly type: "full"; readonly at: number }
  /** The owner's part of the target's connections has changed. */
  | {
      readonly type: "resize";
      readonly at: number;
      readonly limit: number;
      readonly maxShare: number;
    }
  /** No new work; connections close as they come free. */
  | { readonly type: "drain"; readonly at: number }
  | { readonly type: "tick"; readonly at: number };

/** Why the owner closes a connection. */
export type CloseReason =
  "abandoned" | "silent" | "openTimeout" | "unexpectedReady" | "surplus" | "replaced" | "draining";

/** What is to be done outside. */
export type ConnectionEffect =
  | { readonly type: "open"; readonly connection: string; readonly team: string }
  | { readonly type: "close"; readonly connection: string; readonly reason: CloseReason }
  /** Run an empty exchange on it, and report `checked`. */
  | { readonly type: "check"; readonly connection: string }
  /** From now on the connection is the waiter's, until it is idle again or closed. */
  | { readonly type: "grant"; readonly waiter: string; readonly connection: string }
  /** The waiter's connection was closed under it; what it sent may have run. */
  | { readonly type: "lose"; readonly waiter: string; readonly connection: string }
  | {
      readonly type: "refuse";
      readonly waiter: string;
      readonly reason: Extract<
        NotRunReason,
        "noConnection" | "tooManyConnections" | "draining" | "deadline"
      >;
      readonly retryAfterMs: number;
    };

/** Why an event was not applied. */
export type ConnectionFailure = "unknownConnection" | "unknownWaiter" | "duplicateWaiter";

/** The connections of one owner to one target. */
export interface Pool {
  readonly settings: ConnectionSettings;
  readonly connections: Readonly<Record<string, Connection>>;
  /** First come, first served: admission has put them in order. */
  readonly waiters: readonly Waiter[];
  readonly nextId: number;
  /** Connections that may be open at once, those that still count after closing included. */
  readonly share: number;
  readonly nextGrowthAt: number;
  /** What the share begins with, and falls back to once nobody needs more. */
  readonly initialShare: number;
  /** After a failure nothing is opened before this time. */
  readonly nextOpenAt: number;
  readonly backoffMs: number;
  /** Why the last connection could not be opened; absent after a success. */
  readonly lastFailure: "tooMany" | "failed" | undefined;
  readonly isDraining: boolean;
}
