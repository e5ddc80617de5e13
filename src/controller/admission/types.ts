import type { NotRunReason, Plan, Priority } from "../../model/index.js";
import type { Tree } from "./tree.js";

/** A request that asks for a slot. Times are on the owner's clock, in milliseconds. */
export interface AdmissionRequest {
  readonly id: string;
  readonly team: string;
  readonly plan: Plan;
  readonly priority: Priority;
  /** The targets that may serve it. At least one. */
  readonly candidates: readonly string[];
  readonly deadlineAt: number;
  /** The longest wait that the queue may imply. */
  readonly maxQueueMs: number;
}

/** What happens to the queue. `at` never goes back. */
export type AdmissionEvent =
  | { readonly type: "arrive"; readonly at: number; readonly request: AdmissionRequest }
  /** The statement has left its slot, whether its caller still waited or not. */
  | { readonly type: "finish"; readonly at: number; readonly id: string }
  /** The caller gave up. A statement that runs keeps its slot until `finish`. */
  | { readonly type: "cancel"; readonly at: number; readonly id: string }
  /** Other targets may serve it from now on; without effect once it has started. */
  | {
      readonly type: "retarget";
      readonly at: number;
      readonly id: string;
      readonly candidates: readonly string[];
    }
  /** A target's slots or role; 0 slots while it is leaving, unreachable or not yet promoted. */
  | {
      readonly type: "resize";
      readonly at: number;
      readonly target: string;
      readonly role: "primary" | "replica";
      readonly slots: number;
      /** With 0 slots, when they are expected back; requests wait for them only if it is given. */
      readonly backInMs?: number;
    }
  | { readonly type: "tick"; readonly at: number };

/** What is to be done outside. Each request is started or refused once at most. */
export type AdmissionEffect =
  | { readonly type: "start"; readonly id: string; readonly target: string }
  | {
      readonly type: "refuse";
      readonly id: string;
      readonly reason: Extract<NotRunReason, "queueFull" | "deadline" | "overloaded" | "noPrimary">;
      /** When a slot is likely to be had; refused requests are spread over the times that follow. */
      readonly retryAfterMs: number;
    };

/** Why an event was not applied. */
export type AdmissionFailure = "duplicateRequest" | "unknownRequest" | "noCandidates";

/** What an owner may set. */
export interface AdmissionSettings {
  /** Share of the starts that a class gets while more important ones wait. */
  readonly guaranteedShare: Readonly<Record<Priority, number>>;
  /** Bounds the state, whatever the waits. */
  readonly maxWaiting: number;
  /** The service time that is assumed before any was seen. */
  readonly initialServiceMs: number;
}

/** A request in the queue. */
export interface WaitingRequest extends AdmissionRequest {
  /** Order of arrival. */
  readonly seq: number;
  readonly arrivedAt: number;
}

/** Requests of one team that the same targets may serve, in order of arrival. */
export interface Lane {
  readonly key: string;
  readonly candidates: readonly string[];
  readonly isBackground: boolean;
  readonly queue: Tree<number, WaitingRequest>;
}

/** The lanes of one team in one class. `tag` is the slot time it was given, for fairness. */
export interface TeamQueue {
  readonly team: string;
  readonly startTag: number;
  readonly size: number;
  readonly lanes: Tree<string, Lane>;
}

/** How many requests of a class wait for the same targets. */
export interface CandidateSetCount {
  readonly candidates: readonly string[];
  readonly count: number;
}

/** What waits in one class. */
export interface ClassQueue {
  readonly size: number;
  /** Starts that the guaranteed share owes the class; 1 buys one. */
  readonly credit: number;
  /** The tag of the team that was served last: a team that comes back starts here. */
  readonly virtualTime: number;
  readonly teams: Tree<string, TeamQueue>;
  readonly candidateSets: Tree<string, CandidateSetCount>;
  /** The time that the last refused request was told to come back. */
  readonly lastRetryAt: number;
}

/** A statement in a slot. */
export interface RunningRequest {
  readonly id: string;
  readonly target: string;
  readonly team: string;
  readonly priority: Priority;
  readonly isBackground: boolean;
  readonly startedAt: number;
  /** Slot time charged to its team in advance; 0 when it started without waiting. */
  readonly chargedMs: number;
  /** Its caller gave up; the slot is still taken. */
  readonly isAbandoned: boolean;
}

/** The slots of one target. */
export interface TargetSlots {
  readonly target: string;
  readonly role: "primary" | "replica";
  readonly slots: number;
  readonly slotsExpectedAt: number | undefined;
  readonly running: number;
  readonly runningBackground: number;
  /** Moving average of the time that a statement holds its slot. */
  readonly serviceMs: number;
  /** Slot time used by each class, decaying, as of `usedAt`. */
  readonly usageMs: Readonly<Record<Priority, number>>;
  readonly usageAt: number;
}

/** The admission queue of one group. */
export interface Admission {
  readonly settings: AdmissionSettings;
  readonly classes: Readonly<Record<Priority, ClassQueue>>;
  readonly targets: Readonly<Record<string, TargetSlots | undefined>>;
  readonly waiting: Tree<string, WaitingRequest>;
  readonly running: Tree<string, RunningRequest>;
  readonly nextSeq: number;
}
