import type { Mark } from "./mark.js";
import type { Effect, ServeAction } from "./rule.js";
import type { Plan } from "./team.js";

/** What the rules look at: who asks, and for what. */
export interface RequestTraits {
  readonly group: string;
  readonly team: string;
  readonly plan: Plan;
  /** The caller's own word for the request, or the effect's name where it gave none. */
  readonly kind: string;
  readonly effect: Effect;
  readonly tables: readonly string[];
  /** Whether the statement opens or belongs to an interactive transaction. */
  readonly transaction: boolean;
}

/** A caller's own name for one write: a repeat under the same key must not run again. */
export interface IdempotencyKey {
  readonly key: string;
  /** SHA-256 of statement and parameters, hexadecimal. A repeat with another digest is an error. */
  readonly digest: string;
}

/** One request on its way to a group: what it is, the rule's action and what the session must see. */
export interface Request {
  readonly id: string;
  readonly traits: RequestTraits;
  readonly rule: string;
  readonly action: ServeAction;
  /** The least the answer must reflect; absent when the session has seen nothing of the group. */
  readonly mark?: Mark;
  readonly idempotency?: IdempotencyKey;
  /** Milliseconds on the clock of the process that holds the value. Hops carry the time left. */
  readonly deadlineAt: number;
}
