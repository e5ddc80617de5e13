import type { IdempotencyKey, Verdict } from "../model/index.js";

/** What the group's log has under a key: written in the transaction of the write itself. */
export interface IdempotencyRecord<A> {
  readonly key: string;
  readonly digest: string;
  /** The answer that the first run gave. */
  readonly answer: A;
}

/** What to do with a write that carries a key. */
export type KeyedWritePlan<A> =
  | { readonly type: "run" }
  | { readonly type: "replay"; readonly answer: A }
  | { readonly type: "conflict" };

/**
 * Plans a keyed write by the record read on the primary, in the transaction that would write it. The
 * key is unique there, so that of two runs at once the second fails and finds the first one's record.
 */
export function planKeyedWrite<A>(
  key: IdempotencyKey,
  record: IdempotencyRecord<A> | undefined,
): KeyedWritePlan<A> {
  if (record === undefined) return { type: "run" };
  if (record.digest !== key.digest) return { type: "conflict" };
  return { type: "replay", answer: record.answer };
}

/** What is known when a keyed write might be tried again. */
export interface KeyedWriteFailure {
  readonly verdict: Verdict;
  /** Since the first try, on the owner's clock. */
  readonly sinceFirstAttemptMs: number;
  /** How long the group keeps records. */
  readonly retentionMs: number;
}

/**
 * Whether a keyed write may be sent again. After `mayHaveRun` it may while records are kept: if the
 * first run committed, the repeat finds its record; if it did not, nothing of it will be kept. Past
 * the retention a record may be gone and the repeat would run a second time.
 */
export function canRetryKeyedWrite({
  verdict,
  sinceFirstAttemptMs: sinceFirstTryMs,
  retentionMs,
}: KeyedWriteFailure): boolean {
  switch (verdict.type) {
    case "notRun":
      return true;
    case "mayHaveRun":
      return sinceFirstTryMs < retentionMs;
    case "ran":
      return false;
  }
}
