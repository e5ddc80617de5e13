import type { NotRunReason, Plan, Priority } from "../../model/index.js";
import type { Tree } from "./tree.js";

/** The class of the requests of one of the operator's levels. */
export type LevelClass = `level ${number}`;

/** A class of requests: one of the fixed ones, or that of a level. */
export type ClassName = Priority | LevelClass;

/** A value for each of the fixed classes, and for the classes of the levels that are in use. */
export type ByClass<T> = Readonly<Record<Priority, T>> & Readonly<Record<LevelClass, T>>;

/**
 * A request for a slot on one of its candidate targets. Times are on the owner's clock, in
 * milliseconds.
 */
export interface AdmissionRequest {
  readonly id: string;
  readonly team: string;
  readonly plan: Plan;
  readonly priority: Priority;
  /** The operator's level, 0 for the most important; where it is absent, `priority` is the class. */
  readonly level?: number;
  /** When the latency objective ends. Used only together with `level`; the deadline if it is absent. */
  readonly objectiveAt?: number;
  /** Whether it is a read that waits for the primary only because no replica has the position that it requires. */
  readonly lacksReplica?: boolean;
  /** The names of the targets that may serve the request. At least one. */
  readonly candidates: readonly string[];
  readonly deadlineAt: number;
  /** The longest wait, as estimated from the queue, that the request accepts. */
  readonly maxQueueMs: number;
}

/** Events of an admission queue. `at` never decreases. */
export type AdmissionEvent =
  | { readonly type: "arrive"; readonly at: number; readonly request: AdmissionRequest }
  /** The request's slot is free again, whether or not its caller still waits. */
  | { readonly type: "finish"; readonly at: number; readonly id: string }
  /** The caller gave up. A running statement keeps its slot until `finish`. */
  | { readonly type: "cancel"; readonly at: number; readonly id: string }
  /** Frees the slot of a running request that keeps its connection, and counts as held until `finish`. */
  | { readonly type: "pause"; readonly at: number; readonly id: string }
  /** A held request needs a slot again. It goes before all waiting requests; `cancel` withdraws it. */
  | {
      readonly type: "resume";
      readonly at: number;
      readonly id: string;
      readonly deadlineAt: number;
    }
  /** Replaces the candidates of a waiting request. Has no effect on a started one. */
  | {
      readonly type: "retarget";
      readonly at: number;
      readonly id: string;
      readonly candidates: readonly string[];
    }
  /**
   * Sets the slots and role of a target. It has 0 slots while it is leaving, unreachable or not yet
   * promoted.
   */
  | {
      readonly type: "resize";
      readonly at: number;
      readonly target: string;
      readonly role: "primary" | "replica";
      readonly slots: number;
      /**
       * With 0 slots, the time until slots are expected. Requests wait for the target only if it is
       * set.
       */
      readonly readyInMs?: number;
      /** The most connections to the target; unlimited if absent. */
      readonly connections?: number;
    }
  | { readonly type: "tick"; readonly at: number };

/** Actions for the caller of `applyAdmission`. A request is started or refused at most once. */
export type AdmissionEffect =
  | { readonly type: "start"; readonly id: string; readonly target: string }
  | {
      readonly type: "refuse";
      readonly id: string;
      readonly reason: Extract<NotRunReason, "queueFull" | "deadline" | "overloaded" | "noPrimary">;
      /**
       * The time until a slot is likely to be free, different for each refused request so that they
       * do not all return at once.
       */
      readonly retryAfterMs: number;
    };

/** Why an event was rejected. */
export type AdmissionFailure = "duplicateRequest" | "unknownRequest" | "noCandidates";

/** Settings of an admission queue. */
export interface AdmissionSettings {
  /**
   * For each class, the share of the starts that it gets while more important classes have waiting
   * requests.
   */
  readonly guaranteedShare: Readonly<Record<Priority, number>>;
  /**
   * How the requests of a level are ordered. With `teamFirst` the team that has used the least slot time goes
   * first, and objectives order its own requests. With `objectiveFirst` teams whose next request can only be
   * late follow all others.
   */
  readonly levelOrder: "teamFirst" | "objectiveFirst";
  /**
   * The most requests that may wait, over all classes. Bounds the memory however short the waits
   * are.
   */
  readonly maxWaiting: number;
  /** The service time that is assumed for a target until one has been measured. */
  readonly initialServiceMs: number;
}

/** A request that waits in the queue. */
export interface WaitingRequest extends AdmissionRequest {
  /** The sequence number of its arrival. */
  readonly seq: number;
  readonly arrivedAt: number;
  /** Its key in the order of the ends of objectives; absent without a level. */
  readonly objectiveKey?: string;
}

/**
 * Waiting requests of one team with the same candidates, in order of arrival. Background work and reads that
 * lack a replica have lanes of their own.
 */
export interface Lane {
  readonly key: string;
  readonly candidates: readonly string[];
  readonly isBackground: boolean;
  readonly lacksReplica: boolean;
  readonly queue: Tree<number, WaitingRequest>;
  /** The same requests by their `objectiveKey`, without those that have none. */
  readonly byObjective: Tree<string, WaitingRequest>;
}

/**
 * The waiting requests of one team in one class. `startTag` is its position in the fair order: it
 * grows by the slot time that the team uses, and the team with the lowest tag is served next.
 */
export interface TeamQueue {
  readonly team: string;
  readonly startTag: number;
  readonly size: number;
  /**
   * Of its recent starts beside waiting requests that could only be late, the share that these got, 0 to 1.
   * Only meaningful in the class of a level.
   */
  readonly lateShare: number;
  readonly lanes: Tree<string, Lane>;
}

/** The number of waiting requests of a class with the same candidates, apart for reads that lack a replica. */
export interface CandidateSetCount {
  readonly candidates: readonly string[];
  readonly lacksReplica: boolean;
  readonly count: number;
}

/** The waiting requests of one priority class, and its state for fair queuing. */
export interface ClassQueue {
  readonly size: number;
  /**
   * Starts that the guaranteed share entitles the class to, up to 1. At 1 the class is served
   * before more important ones.
   */
  readonly credit: number;
  /**
   * The start tag of the team that was served last. A team that returns after an idle time starts
   * from here.
   */
  readonly virtualTime: number;
  readonly teams: Tree<string, TeamQueue>;
  readonly candidateSets: Tree<string, CandidateSetCount>;
  /** The retry time that the last refused request was given. */
  readonly lastRetryAt: number;
}

/** A request that holds a slot. */
export interface RunningRequest {
  readonly id: string;
  readonly target: string;
  readonly team: string;
  readonly className: ClassName;
  readonly isBackground: boolean;
  readonly startedAt: number;
  /** Slot time that was charged to its team in advance; 0 if it started without waiting. */
  readonly chargedMs: number;
  /** Whether its caller gave up. It holds the slot all the same. */
  readonly isAbandoned: boolean;
  /** Whether it took the slot with a `resume` event. */
  readonly isResumed?: boolean;
}

/** A request that holds a connection to its target but no slot. */
export interface HeldRequest {
  readonly id: string;
  readonly target: string;
  readonly team: string;
  readonly className: ClassName;
  readonly isBackground: boolean;
  /** Its place among those that wait for a slot, in order of `seq`; absent while it needs none. */
  readonly resume?: { readonly seq: number; readonly deadlineAt: number };
}

/** The slots of one target and their use. */
export interface TargetSlots {
  readonly target: string;
  readonly role: "primary" | "replica";
  readonly slots: number;
  /** When a target without slots is expected to have some; undefined when that is unknown. */
  readonly slotsExpectedAt: number | undefined;
  readonly running: number;
  readonly runningBackground: number;
  /** Running requests that took their slot with a `resume` event. */
  readonly runningResumed: number;
  /** Whether the last request that was started had been held. */
  readonly isResumedLast: boolean;
  /** The classes of which the request started last was a read that lacks a replica. */
  readonly lackingLast: readonly ClassName[];
  /** Requests that hold a connection but no slot. */
  readonly held: number;
  /** The most connections. A request is started only if one is left for it. */
  readonly connections: number;
  /** Moving average of the time that a statement holds its slot. */
  readonly serviceMs: number;
  /** Exponentially decayed slot time used by each class, as of `usageAt`. */
  readonly usageMs: ByClass<number>;
  readonly usageAt: number;
}

/** The admission queue of one group. */
export interface Admission {
  readonly settings: AdmissionSettings;
  readonly classes: ByClass<ClassQueue>;
  /** The known classes, the most important first. */
  readonly order: readonly ClassName[];
  readonly targets: Readonly<Record<string, TargetSlots | undefined>>;
  readonly waiting: Tree<string, WaitingRequest>;
  readonly running: Tree<string, RunningRequest>;
  readonly held: Tree<string, HeldRequest>;
  readonly nextSeq: number;
}
