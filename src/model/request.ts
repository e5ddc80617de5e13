import type { Mark } from "./mark.js";
import type { Effect, ServeAction } from "./rule.js";
import type { Plan } from "./team.js";

/** The attributes of a request that conditions of rules refer to. */
export interface RequestTraits {
  readonly group: string;
  readonly team: string;
  readonly plan: Plan;
  /** The kind that the caller gave the request, or the effect where it gave none. */
  readonly kind: string;
  readonly effect: Effect;
  readonly tables: readonly string[];
  /** Whether the statement begins or is part of an interactive transaction. */
  readonly transaction: boolean;
}

/** Identifies one write of a caller: a repeat with the same key must not run a second time. */
export interface IdempotencyKey {
  readonly key: string;
  /**
   * SHA-256 of the statement and its parameters, hexadecimal. Using the key with another digest is an
   * error.
   */
  readonly digest: string;
}

/** A request to a group, with the action of the rule that decided about it. */
export interface Request {
  readonly id: string;
  readonly traits: RequestTraits;
  readonly rule: string;
  readonly action: ServeAction;
  /** What the answer must at least reflect; absent when the session has seen nothing of the group. */
  readonly mark?: Mark;
  readonly idempotency?: IdempotencyKey;
  /**
   * On the clock of the process that holds the value, in milliseconds. Messages between processes carry
   * the time left instead.
   */
  readonly deadlineAt: number;
}
