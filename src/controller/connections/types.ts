import type { NotRunReason } from "../../model/index.js";

/** Settings for an owner's connections to one target. */
export interface ConnectionSettings {
  /** The number of connections that the target accepts from all clients together. */
  readonly limit: number;
  /** The part of `limit` that is reserved for control connections. */
  readonly controlReserve: number;
  /**
   * The most connections that one owner may open. The rest of the limit is certainly free for a
   * successor. Up to half of the limit, an owner and its successor together never use up what
   * control needs.
   */
  readonly maxShare: number;
  /** The most connections that are being opened at the same time. */
  readonly maxOpening: number;
  readonly openTimeoutMs: number;
  /** An active connection without a byte of the answer for this long counts as silent. */
  readonly progressTimeoutMs: number;
  /**
   * When a caller abandons a statement after this long without a byte of the answer, the idle
   * connections are checked.
   */
  readonly abandonedSilenceMs: number;
  /** A connection that has been idle for longer is checked before it is granted. */
  readonly checkAfterIdleMs: number;
  readonly checkTimeoutMs: number;
  /**
   * The number of idle connections that are kept open. Those beyond it are closed after
   * `idleTimeoutMs`.
   */
  readonly minIdle: number;
  readonly idleTimeoutMs: number;
  /**
   * How long a closed connection counts against the limit, unless it is known to be gone earlier.
   */
  readonly lingerMs: number;
  /** The interval at which the share grows by one while there are waiters. */
  readonly growIntervalMs: number;
  /** The share grows only for a waiter that has waited for this long, in milliseconds. */
  readonly growAfterMs: number;
  /** The share does not grow for this long after the target was full, in milliseconds. */
  readonly growPauseWhenFullMs: number;
  /** The share does not grow before this time, in milliseconds on the owner's clock. */
  readonly growNotBefore: number;
  readonly firstBackoffMs: number;
  readonly longestBackoffMs: number;
}

/**
 * One connection to the target. Times are on the owner's clock, in milliseconds. A connection is
 * granted only to the `team` that it was opened for. The name is empty where all teams share
 * connections.
 */
export type Connection =
  | {
      readonly type: "opening";
      readonly id: string;
      readonly team: string;
      readonly since: number;
    }
  /**
   * Between two exchanges, with nothing in flight. `lastActivityAt` is when the last byte from the
   * target arrived.
   */
  | {
      readonly type: "idle";
      readonly id: string;
      readonly team: string;
      readonly lastActivityAt: number;
      readonly idleSince: number;
    }
  /** Held by one waiter, from its grant until `ReadyForQuery` with idle status. */
  | {
      readonly type: "active";
      readonly id: string;
      readonly team: string;
      readonly lastActivityAt: number;
      readonly waiter: string;
    }
  /** Being checked, and not granted until it has answered. */
  | {
      readonly type: "suspect";
      readonly id: string;
      readonly team: string;
      readonly lastActivityAt: number;
      readonly idleSince: number;
      readonly checkStartedAt: number;
    }
  /** Closed by the owner. The target may still count it. */
  | { readonly type: "closed"; readonly id: string; readonly closedAt: number };

/** A request or transaction that waits for a connection. */
export interface Waiter {
  readonly id: string;
  /** The team that the connection must belong to; empty where all teams share connections. */
  readonly team: string;
  readonly since: number;
  readonly deadlineAt: number;
}

/** Events of the connections to one target. `at` never decreases. */
export type ConnectionEvent =
  | {
      readonly type: "ask";
      readonly at: number;
      readonly waiter: string;
      /** Absent where all teams share connections. */
      readonly team?: string;
      readonly deadlineAt: number;
    }
  /** A waiter gives up. It is removed, or the connection that it holds is closed. */
  | { readonly type: "giveUp"; readonly at: number; readonly waiter: string }
  | { readonly type: "opened"; readonly at: number; readonly connection: string }
  /** `tooMany` stands for SQLSTATE 53300. */
  | {
      readonly type: "openFailed";
      readonly at: number;
      readonly connection: string;
      readonly reason: "tooMany" | "failed";
    }
  /** Bytes of an answer arrived. */
  | { readonly type: "progress"; readonly at: number; readonly connection: string }
  /** `ReadyForQuery` arrived. `inFlight` is the number of further ones that are still expected. */
  | {
      readonly type: "ready";
      readonly at: number;
      readonly connection: string;
      readonly status: "I" | "T" | "E";
      readonly inFlight: number;
    }
  /** The target or the network closed the connection. */
  | { readonly type: "broken"; readonly at: number; readonly connection: string }
  | {
      readonly type: "checked";
      readonly at: number;
      readonly connection: string;
      readonly isAlive: boolean;
    }
  /** A closed connection is known to be gone at the target too. */
  | { readonly type: "gone"; readonly at: number; readonly connection: string }
  /** The target reports this many connections of other owners. */
  | { readonly type: "countOthers"; readonly at: number; readonly others: number }
  /** All slots of the target are taken, so more connections would only be refused work. */
  | { readonly type: "full"; readonly at: number }
  /** The owner's part of the target's connections has changed. */
  | {
      readonly type: "resize";
      readonly at: number;
      readonly limit: number;
      readonly maxShare: number;
    }
  /** No connections are granted any more, and each is closed when it becomes idle. */
  | { readonly type: "drain"; readonly at: number }
  | { readonly type: "tick"; readonly at: number };

/** Why the owner closes a connection. */
export type CloseReason =
  "abandoned" | "silent" | "openTimeout" | "unexpectedReady" | "surplus" | "replaced" | "draining";

/** Actions for the caller of `applyConnections`. */
export type ConnectionEffect =
  | { readonly type: "open"; readonly connection: string; readonly team: string }
  | { readonly type: "close"; readonly connection: string; readonly reason: CloseReason }
  /** Run an empty exchange on the connection, and report `checked`. */
  | { readonly type: "check"; readonly connection: string }
  /** The connection belongs to the waiter until it is idle again or closed. */
  | { readonly type: "grant"; readonly waiter: string; readonly connection: string }
  /** The waiter's connection was closed while held. What the waiter sent may have run. */
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

/** Why an event was rejected. */
export type ConnectionFailure = "unknownConnection" | "unknownWaiter" | "duplicateWaiter";

/** The connections of one owner to one target. */
export interface Pool {
  readonly settings: ConnectionSettings;
  readonly connections: Readonly<Record<string, Connection>>;
  /** Waiters are served in order of arrival, which is the order in which admission started them. */
  readonly waiters: readonly Waiter[];
  readonly nextId: number;
  /** The most connections that may exist at once, closed ones that still count included. */
  readonly share: number;
  readonly nextGrowthAt: number;
  /** The share that the pool starts with, and falls back to when more is not needed. */
  readonly initialShare: number;
  /** After a failure no connection is opened before this time. */
  readonly nextOpenAt: number;
  readonly backoffMs: number;
  /** Why the last attempt to open a connection failed; `undefined` after a success. */
  readonly lastFailure: "tooMany" | "failed" | undefined;
  readonly isDraining: boolean;
}
