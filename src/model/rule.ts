import type { Plan } from "./team.js";

/** What a statement does to data. What can't be told counts as a write. */
export type Effect = "read" | "write";

/** Strict admission classes, the most important first. */
export const priorities = ["critical", "normal", "browsing", "trial"] as const;

/** The class in which a request waits for a slot. */
export type Priority = (typeof priorities)[number];

/** The conditions of a rule. All that are given must hold; a list holds when one entry does. */
export interface Condition {
  readonly teams?: readonly string[];
  readonly plan?: Plan;
  readonly groups?: readonly string[];
  /** The caller's own word for the request, such as `reservation` or `browse`. */
  readonly kinds?: readonly string[];
  readonly effect?: Effect;
  readonly tables?: readonly string[];
  readonly transaction?: boolean;
}

/**
 * Where a read may go. `stale` accepts data up to an age; `replica` wants the session's mark, and with
 * `maxAgeMs` what is older than that as well.
 */
export type Route =
  | { readonly type: "primary" }
  | { readonly type: "replica"; readonly maxAgeMs?: number }
  | { readonly type: "stale"; readonly maxAgeMs: number };

/** When a write is acknowledged; see docs/design/acknowledgement.md. */
export type Acknowledgement = "replicated" | "witnessed";

/** How often a request that has not run is tried again before the caller hears of it. */
export interface RetryLimit {
  readonly attempts: number;
}

/** What happens to a request that meets a rule. */
export type RuleAction =
  | {
      readonly type: "serve";
      readonly route: Route;
      readonly priority: Priority;
      readonly deadlineMs: number;
      /** The longest wait that the queue may imply before the request is refused. */
      readonly maxQueueMs: number;
      readonly retry: RetryLimit;
      readonly acknowledgement: Acknowledgement;
    }
  | { readonly type: "refuse"; readonly retryAfterMs: number; readonly reason: string };

/** The action of a rule that serves. */
export type ServeAction = Extract<RuleAction, { type: "serve" }>;

/** One line of the operators' ordered list. The first whose condition holds decides. */
export interface Rule {
  readonly name: string;
  readonly when: Condition;
  readonly then: RuleAction;
}
