import type { Conversation, Outcome } from "../model/index.js";
import type { StatementKind } from "../sql/index.js";

/** The state of a caller's interactive transaction. */
export type TransactionState =
  | { readonly type: "none" }
  | {
      readonly type: "open";
      readonly conversation: Conversation;
      /** The status that the target reported last: in a transaction, or in a failed one. */
      readonly status: "T" | "E";
      readonly isReadOnly: boolean;
      /** The kind that the caller gave for the first batch of the transaction. */
      readonly kind: string | undefined;
    }
  /** Rolled back by the proxy; the caller has not ended it yet. */
  | { readonly type: "aborted" };

/** No transaction. */
export const noTransaction: TransactionState = { type: "none" };

/** The attributes of a batch that its transaction's next state depends on. */
export interface TransactionBatch {
  readonly conversation: Conversation;
  readonly statements: readonly StatementKind[];
  readonly kind: string | undefined;
}

/** Returns the state after a batch. The calling code closes the conversation of an ended transaction. */
export function getNextTransactionState(
  before: TransactionState,
  batch: TransactionBatch,
  outcome: Outcome,
): TransactionState {
  switch (outcome.type) {
    case "answered":
      if (outcome.status === "I") return noTransaction;
      if (before.type === "open") return { ...before, status: outcome.status };
      return {
        type: "open",
        conversation: batch.conversation,
        status: outcome.status,
        isReadOnly: isReadOnlyBegin(batch.statements),
        kind: batch.kind,
      };
    case "failed": {
      const hasEnded = before.type === "none" || hasTransactionEnd(batch.statements);
      return hasEnded ? noTransaction : { type: "aborted" };
    }
  }
}

/** Returns the status byte of `ReadyForQuery`. */
export function getTransactionStatus(state: TransactionState): "I" | "T" | "E" {
  switch (state.type) {
    case "none":
      return "I";
    case "open":
      return state.status;
    case "aborted":
      return "E";
  }
}

/** Whether a batch begins a transaction and leaves it open. */
export function leavesTransactionOpen(statements: readonly StatementKind[]): boolean {
  const last = statements.findLast((s) => s.type === "begin" || s.type === "end");
  return last?.type === "begin" || (last?.type === "end" && last.isChained);
}

/** Whether a batch contains the end of a transaction. */
export function hasTransactionEnd(statements: readonly StatementKind[]): boolean {
  return statements.some((s) => s.type === "end");
}

function isReadOnlyBegin(statements: readonly StatementKind[]): boolean {
  const begins = statements.filter((s) => s.type === "begin");
  return begins.length > 0 && begins.every((s) => s.isReadOnly);
}
