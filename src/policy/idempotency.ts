import type { IdempotencyKey, Verdict } from "../model/index.js";

/** The record of a keyed write in its group, stored in the same transaction as the write. */
export interface IdempotencyRecord<A> {
  readonly key: string;
  readonly digest: string;
  /** The answer of the first run. */
  readonly answer: A;
}

/** What to do with a write that has an idempotency key. */
export type KeyedWritePlan<A> =
  | { readonly type: "run" }
  | { readonly type: "replay"; readonly answer: A }
  | { readonly type: "conflict" };

/**
 * Plans a keyed write by the `record` found under its key, which must be read on the primary in the
 * transaction that would write it. Keys are unique there: of two concurrent runs the second fails, and
 * its repeat finds the record of the first.
 */
export function planKeyedWrite<A>(
  key: IdempotencyKey,
  record: IdempotencyRecord<A> | undefined,
): KeyedWritePlan<A> {
  if (record === undefined) return { type: "run" };
  if (record.digest !== key.digest) return { type: "conflict" };
  return { type: "replay", answer: record.answer };
}

/** A failed attempt at a keyed write. */
export interface KeyedWriteFailure {
  readonly verdict: Verdict;
  /** Time since the first attempt, on the clock of the process that retries. */
  readonly sinceFirstAttemptMs: number;
  /** How long the group keeps the records of keyed writes. */
  readonly retentionMs: number;
}

/**
 * Whether a keyed write may be sent again. After `mayHaveRun` it may while records are kept: if the
 * first run committed, the repeat finds its record; if not, nothing of the first run remains. After
 * the retention time the record may be gone, and the write would run a second time.
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
