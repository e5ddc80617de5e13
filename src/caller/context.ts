import type { Conversation, Request, RequestTraits, ServeAction, Team } from "../model/index.js";
import type { Session } from "../session/index.js";
import type { AnswerRelay } from "./answer.js";
import type { BatchPlan } from "./plan.js";
import type { TransactionState } from "./transaction.js";

/** One try of a batch: where it runs and what takes its answer. */
export interface Attempt {
  readonly conversation: Conversation;
  readonly relay: AnswerRelay;
}

/** One batch on its way through the chain. The optional parts are added on the way. */
export interface RequestContext {
  readonly id: string;
  readonly session: Session;
  readonly transaction: TransactionState;
  readonly plan: BatchPlan;
  readonly attempt: Attempt;
  /** Ends the attempt before and begins another; absent inside a transaction. */
  readonly beginAttempt?: () => Attempt;
  readonly signal: AbortSignal;
  /** The roster's entry now: an operator may have changed it since the session began. */
  readonly team?: Team;
  readonly traits?: RequestTraits;
  readonly decision?: { readonly rule: string; readonly action: ServeAction };
  readonly request?: Request;
}

/** A part of the context that an earlier filter has added. */
export function requirePart<T>(part: T | undefined): T {
  if (part === undefined) throw new Error("a filter stands out of order in the chain");
  return part;
}

/** The caller's own word for a batch, where it gave one. */
export function findKind(
  { session, transaction }: Pick<RequestContext, "session" | "transaction">,
  plan: BatchPlan,
): string | undefined {
  const transactionKind = transaction.type === "open" ? transaction.kind : undefined;
  return plan.tags.get("kind") ?? transactionKind ?? session.kind;
}
