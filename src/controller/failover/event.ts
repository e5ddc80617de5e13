import type { ControlResult, TargetStatus, Term } from "../../model/index.js";

/** A request that changes a target. */
export type ControlRequest =
  | { readonly type: "fence"; readonly target: string; readonly term: Term }
  | { readonly type: "promote"; readonly target: string; readonly term: Term }
  | {
      readonly type: "follow";
      readonly target: string;
      readonly primary: string;
      readonly term: Term;
    };

/** What other VMs found of a target: one reached it, some did not, or none could be asked. */
export type PeerFinding = "reached" | "unreached" | "silent";

interface EventContext {
  /** On the clock of this process. */
  readonly at: number;
  /** A number of [0, 1) for jitter. */
  readonly draw: number;
}

/** What a failover controller hears. */
export type FailoverEvent = EventContext &
  (
    | { readonly type: "ticked" }
    | {
        readonly type: "answered";
        readonly askedAt: number;
        readonly status: TargetStatus;
        /** How much later than agreed the answer came, where that can be told. */
        readonly latenessMs?: number;
      }
    | { readonly type: "missed"; readonly target: string; readonly isFresh: boolean }
    /** Somebody's connection to the target broke. */
    | { readonly type: "hinted"; readonly target: string }
    | { readonly type: "peersAnswered"; readonly target: string; readonly finding: PeerFinding }
    | {
        readonly type: "controlled";
        readonly request: ControlRequest;
        readonly askedAt: number;
        readonly result: ControlResult;
      }
    /** The target is to lose its primary role as soon as a replica holds all it has. */
    | { readonly type: "switchAsked"; readonly target: string }
  );

/** Why a primary is elected. */
export type ElectionReason =
  "primaryFailed" | "noPrimary" | "choiceFailed" | "strayFence" | "plannedSwitch";

/** What an operator should be able to read afterwards. */
export type FailoverNote =
  | { readonly type: "suspected"; readonly target: string; readonly why: string }
  | { readonly type: "cleared"; readonly target: string }
  | { readonly type: "cutOff"; readonly target: string; readonly why: string }
  | { readonly type: "fencing"; readonly term: Term; readonly reason: ElectionReason }
  | { readonly type: "promoting"; readonly term: Term; readonly target: string }
  | { readonly type: "led"; readonly term: Term; readonly target: string }
  | { readonly type: "backedOff"; readonly why: string; readonly waitMs: number };

/** What is to be done outside. */
export type FailoverEffect =
  /** A status request on a new connection. */
  | { readonly type: "probe"; readonly target: string; readonly timeoutMs: number }
  /** Two other VMs are asked for the same. */
  | { readonly type: "askPeers"; readonly target: string; readonly timeoutMs: number }
  | { readonly type: "control"; readonly request: ControlRequest; readonly timeoutMs: number }
  /** The connection that status answers come on is given up for a new one. */
  | { readonly type: "renew"; readonly target: string }
  | { readonly type: "note"; readonly note: FailoverNote };
