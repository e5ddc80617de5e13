import type { Plan } from "./team.js";

/** What a statement does to data. A statement that can't be classified counts as a write. */
export type Effect = "read" | "write";

/** The strict admission classes, the most important first. */
export const priorities = ["critical", "normal", "browsing", "trial"] as const;

/** The admission class in which a request waits for a slot. */
export type Priority = (typeof priorities)[number];

/** The condition of a rule: every given part must hold. A list holds when one of its entries matches. */
export interface Condition {
  readonly teams?: readonly string[];
  readonly plan?: Plan;
  readonly groups?: readonly string[];
  /** The kind that the caller gives its requests, such as `reservation` or `browse`. */
  readonly kinds?: readonly string[];
  readonly effect?: Effect;
  readonly tables?: readonly string[];
  readonly transaction?: boolean;
}

/**
 * Where a read may run. On a `stale` route the data may be up to `maxAgeMs` old. On a `replica` route
 * the target must hold the session's mark and, with `maxAgeMs`, also everything older than that.
 */
export type Route =
  | { readonly type: "primary" }
  | { readonly type: "replica"; readonly maxAgeMs?: number }
  | { readonly type: "stale"; readonly maxAgeMs: number };

/**
 * When a committed write is acknowledged. With `replicated`, a majority of the group's targets must
 * hold the write; `witnessed` does not require that. Both then wait until a majority confirms that it
 * was not fenced by a newer term after the commit. See docs/design/acknowledgement.md.
 */
export type Acknowledgement = "replicated" | "witnessed";

/** How often a failed request is tried again before the failure is returned to the caller. */
export interface RetryLimit {
  readonly attempts: number;
}

/** What happens to a request that matches a rule. */
export type RuleAction =
  | {
      readonly type: "serve";
      readonly route: Route;
      readonly priority: Priority;
      readonly deadlineMs: number;
      /** The request is refused when the estimated wait in the queue is longer than this. */
      readonly maxQueueMs: number;
      readonly retry: RetryLimit;
      readonly acknowledgement: Acknowledgement;
      /**
       * The operator's level of importance, 0 for the most important. Absent where the configuration does not
       * order statements by level; `priority` decides then.
       */
      readonly level?: number;
      /** The operator's latency objective, from the arrival of the statement. Set together with `level`. */
      readonly objectiveMs?: number;
    }
  | { readonly type: "refuse"; readonly retryAfterMs: number; readonly reason: string };

/** The action of a rule that lets requests run. */
export type ServeAction = Extract<RuleAction, { type: "serve" }>;

/** An entry of the operators' ordered list of rules. The first whose condition holds decides. */
export interface Rule {
  readonly name: string;
  readonly when: Condition;
  readonly then: RuleAction;
}
