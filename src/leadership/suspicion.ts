/** What a proxy has seen of one group's primary. Times are on its clock, in milliseconds. */
export interface PrimaryContact {
  readonly target: string;
  readonly reachedAt: number | undefined;
  /** When the first of the failures since then began to count. */
  readonly missingSince: number | undefined;
  readonly misses: number;
}

/** Why a primary should be replaced, as one proxy sees it. */
export type Suspicion =
  /** It will go away: the role is moved while it can still hand its log on. */
  | { readonly type: "leaving" }
  | { readonly type: "unreachable"; readonly sinceMs: number }
  /** Its entry is gone from the platform's list. */
  | { readonly type: "unlisted" }
  /** It has started again without commits that it had acknowledged. */
  | { readonly type: "emptied" };

/** Failures within this time are one event, such as a connection reset under several statements. */
const suspectAfterMs = 250;
/** One lost answer is no evidence. */
const suspectMisses = 2;

/** Notes that a statement to a primary went through, or did not. */
export function noteContact(
  contact: PrimaryContact | undefined,
  target: string,
  isReached: boolean,
  now: number,
): PrimaryContact {
  if (isReached) return { target, reachedAt: now, missingSince: undefined, misses: 0 };
  if (contact?.target !== target) {
    return { target, reachedAt: undefined, missingSince: now, misses: 1 };
  }
  return { ...contact, missingSince: contact.missingSince ?? now, misses: contact.misses + 1 };
}

/**
 * Notes that a primary has left what was sent to it at `since` without an answer, and does not take a
 * new connection either. That is as much as several failures: no others need be waited for.
 */
export function noteSilence(
  contact: PrimaryContact | undefined,
  target: string,
  since: number,
): PrimaryContact {
  const known = contact?.target === target ? contact : undefined;
  return {
    target,
    reachedAt: known?.reachedAt,
    missingSince: Math.min(known?.missingSince ?? since, since),
    misses: Math.max(known?.misses ?? 0, suspectMisses),
  };
}

/** What a proxy sees of a group's primary when it asks whether to replace it. */
export interface PrimarySight {
  readonly target: string;
  readonly isListed: boolean;
  readonly isLeaving: boolean;
  readonly hasLostLog: boolean;
  readonly contact: PrimaryContact | undefined;
}

/** Whether there is a reason to replace a primary. */
export function findSuspicion(sight: PrimarySight, now: number): Suspicion | undefined {
  if (!sight.isListed) return { type: "unlisted" };
  if (sight.hasLostLog) return { type: "emptied" };
  if (sight.isLeaving) return { type: "leaving" };
  const { contact } = sight;
  if (contact?.target !== sight.target || contact.missingSince === undefined) return undefined;
  const sinceMs = now - contact.missingSince;
  if (contact.misses < suspectMisses || sinceMs < suspectAfterMs) return undefined;
  return { type: "unreachable", sinceMs };
}
