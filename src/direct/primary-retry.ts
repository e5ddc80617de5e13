/** The retry hint when it is unknown when a group will serve again: the usual time of a change of primary. */
export const unknownPrimaryRetryMs = 1000;
/** Retry hints after a wait for a failing primary are spread up to this factor, so that callers don't return at once. */
const maxSpread = 1.5;

/** A statement that is refused as no primary could be used. Times are in milliseconds. */
export interface PrimaryWait {
  /** When the primary may be used again, as far as this process knows. */
  readonly readyInMs: number;
  /** Whether a primary is known that does not answer, rather than one that is being changed. */
  readonly isFailing: boolean;
  /** Whether the statement has waited for as long as statements wait for a primary. */
  readonly isWaitOver: boolean;
  readonly isSlotPlanned: boolean;
}

/**
 * Chooses the retry hint. It answers the load of callers whose primary has crashed: `readyInMs` is then the time until
 * the next probe of the primary, at most 0.4 s, while a change of primary takes a second or more. Callers that
 * return after each probe would use up their few retries before the change is over.
 */
export function choosePrimaryRetryMs(
  { readyInMs, isFailing, isWaitOver, isSlotPlanned }: PrimaryWait,
  draw: () => number,
): number {
  if (!isSlotPlanned || !isFailing || !isWaitOver) return Math.ceil(readyInMs);
  const spreadMs = unknownPrimaryRetryMs * (1 + (maxSpread - 1) * draw());
  return Math.ceil(Math.max(readyInMs, spreadMs));
}
