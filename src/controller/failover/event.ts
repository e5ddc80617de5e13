import type { ControlResult, TargetStatus, Term } from "../../model/index.js";

/** A request that changes a target's role or term. */
export type ControlRequest =
  | { readonly type: "fence"; readonly target: string; readonly term: Term }
  | { readonly type: "promote"; readonly target: string; readonly term: Term }
  | {
      readonly type: "follow";
      readonly target: string;
      readonly primary: string;
      readonly term: Term;
    };

/** What other VMs report on a target: one reached it, none of them did, or no VM answered. */
export type PeerFinding = "reached" | "unreached" | "silent";

interface EventContext {
  /** When the event happened, in milliseconds on the clock of this process. */
  readonly at: number;
  /** A random number in [0, 1) for jitter. */
  readonly draw: number;
}

/** An input of the failover controller. */
export type FailoverEvent = EventContext &
  (
    | { readonly type: "ticked" }
    | {
        readonly type: "answered";
        readonly askedAt: number;
        readonly status: TargetStatus;
        /** How much later than agreed the answer came. Absent when that is unknown. */
        readonly latenessMs?: number;
      }
    /** A status request had no answer. `isFresh` when it was sent on a new connection. */
    | { readonly type: "missed"; readonly target: string; readonly isFresh: boolean }
    /** Another connection to the target broke, which suggests that the target failed. */
    | { readonly type: "hinted"; readonly target: string }
    | { readonly type: "peersAnswered"; readonly target: string; readonly finding: PeerFinding }
    /** A control request ended. */
    | {
        readonly type: "controlled";
        readonly request: ControlRequest;
        readonly askedAt: number;
        readonly result: ControlResult;
      }
    /** The target gives up its primary role as soon as a replica has its whole log. */
    | { readonly type: "switchAsked"; readonly target: string }
  );

/** Why an election is held. */
export type ElectionReason =
  "primaryFailed" | "noPrimary" | "choiceFailed" | "strayFence" | "plannedSwitch";

/** A milestone of a failover. It goes into the log under its own field names. */
export type FailoverNote =
  | { readonly type: "suspected"; readonly target: string; readonly why: string }
  | { readonly type: "cleared"; readonly target: string }
  | { readonly type: "cutOff"; readonly target: string; readonly why: string }
  | { readonly type: "fencing"; readonly term: Term; readonly reason: ElectionReason }
  | { readonly type: "promoting"; readonly term: Term; readonly target: string }
  | { readonly type: "led"; readonly term: Term; readonly target: string }
  | { readonly type: "backedOff"; readonly why: string; readonly waitMs: number };

/** An action that the caller carries out. */
export type FailoverEffect =
  /** Sends a status request on a new connection. */
  | { readonly type: "probe"; readonly target: string; readonly timeoutMs: number }
  /** Asks two other VMs to check the target in the same way. */
  | { readonly type: "askPeers"; readonly target: string; readonly timeoutMs: number }
  | { readonly type: "control"; readonly request: ControlRequest; readonly timeoutMs: number }
  /** Replaces the connection that carries the target's status answers. */
  | { readonly type: "renew"; readonly target: string }
  | { readonly type: "note"; readonly note: FailoverNote };
