import type { Conversation, Request, RequestTraits, ServeAction, Team } from "../model/index.js";
import type { Session } from "../session/index.js";
import type { AnswerRelay } from "./answer.js";
import type { BatchPlan } from "./plan.js";
import type { TransactionState } from "./transaction.js";

/** One attempt to run a batch, with the conversation it runs in and the relay of its answer. */
export interface Attempt {
  readonly conversation: Conversation;
  readonly relay: AnswerRelay;
}

/** The state of one batch in the filter chain. Filters add the optional fields. */
export interface RequestContext {
  readonly id: string;
  readonly session: Session;
  readonly transaction: TransactionState;
  readonly plan: BatchPlan;
  readonly attempt: Attempt;
  /** Closes the previous attempt and begins another; absent inside a transaction. */
  readonly beginAttempt?: () => Attempt;
  readonly signal: AbortSignal;
  /** The team as configured now: an operator may have changed it since the session began. */
  readonly team?: Team;
  readonly traits?: RequestTraits;
  readonly decision?: { readonly rule: string; readonly action: ServeAction };
  readonly request?: Request;
}

/** Returns a field that an earlier filter must have set; throws if it is missing. */
export function requirePart<T>(part: T | undefined): T {
  if (part === undefined) throw new Error("a filter ran before the filter that provides its input");
  return part;
}

/** The kind that the caller gave for a batch: by a tag, its transaction or its session. */
export function findKind(
  { session, transaction }: Pick<RequestContext, "session" | "transaction">,
  plan: BatchPlan,
): string | undefined {
  const transactionKind = transaction.type === "open" ? transaction.kind : undefined;
  return plan.tags.get("kind") ?? transactionKind ?? session.kind;
}
