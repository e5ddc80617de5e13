import type { Conversation, Outcome } from "../model/index.js";
import type { StatementKind } from "../sql/index.js";

/** Where a caller's interactive transaction stands. */
export type TransactionState =
  | { readonly type: "none" }
  | {
      readonly type: "open";
      readonly conversation: Conversation;
      /** As the target said last: in a transaction, or in one that has failed there. */
      readonly status: "T" | "E";
      readonly isReadOnly: boolean;
      /** The kind that the caller gave with its first statement. */
      readonly kind: string | undefined;
    }
  /** Rolled back here; the caller has yet to end it. */
  | { readonly type: "aborted" };

/** No transaction. */
export const noTransaction: TransactionState = { type: "none" };

/** What a batch brings to the state of its transaction. */
export interface TransactionBatch {
  readonly conversation: Conversation;
  readonly statements: readonly StatementKind[];
  readonly kind: string | undefined;
}

/** The state after a batch; the conversation of a transaction that ended is closed by the caller. */
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

/** The status byte that the caller sees. */
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

/** Whether a batch leaves a transaction open that it began. */
export function leavesTransactionOpen(statements: readonly StatementKind[]): boolean {
  const last = statements.findLast((s) => s.type === "begin" || s.type === "end");
  return last?.type === "begin" || (last?.type === "end" && last.isChained);
}

/** Whether a batch ends the transaction that it meets. */
export function hasTransactionEnd(statements: readonly StatementKind[]): boolean {
  return statements.some((s) => s.type === "end");
}

function isReadOnlyBegin(statements: readonly StatementKind[]): boolean {
  const begins = statements.filter((s) => s.type === "begin");
  return begins.length > 0 && begins.every((s) => s.isReadOnly);
}
