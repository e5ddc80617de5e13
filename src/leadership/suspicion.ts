/** What a proxy has seen of one group's primary. Times are on its clock, in milliseconds. */
export interface PrimaryContact {
  readonly target: string;
  readonly reachedAt: number | undefined;
  /** When the first of the failures since then began to count. */
  readonly failingSince: number | undefined;
  readonly failures: number;
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
const minFailureMs = 250;
/** One lost answer is no evidence. */
const minFailures = 2;

/** Notes that a statement to a primary went through, or did not. */
export function recordContact(
  contact: PrimaryContact | undefined,
  target: string,
  isReached: boolean,
  now: number,
): PrimaryContact {
  if (isReached) return { target, reachedAt: now, failingSince: undefined, failures: 0 };
  if (contact?.target !== target) {
    return { target, reachedAt: undefined, failingSince: now, failures: 1 };
  }
  return { ...contact, failingSince: contact.failingSince ?? now, failures: contact.failures + 1 };
}

/**
 * Notes that a primary has left what was sent to it at `since` without an answer, and does not take a
 * new connection either. That is as much as several failures: no others need be waited for.
 */
export function recordSilence(
  contact: PrimaryContact | undefined,
  target: string,
  since: number,
): PrimaryContact {
  const known = contact?.target === target ? contact : undefined;
  return {
    target,
    reachedAt: known?.reachedAt,
    failingSince: Math.min(known?.failingSince ?? since, since),
    failures: Math.max(known?.failures ?? 0, minFailures),
  };
}

/** What a proxy sees of a group's primary when it asks whether to replace it. */
export interface PrimaryObservation {
  readonly target: string;
  readonly isListed: boolean;
  readonly isLeaving: boolean;
  readonly hasLostLog: boolean;
  readonly contact: PrimaryContact | undefined;
}

/** Whether there is a reason to replace a primary. */
export function findSuspicion(observation: PrimaryObservation, now: number): Suspicion | undefined {
  if (!observation.isListed) return { type: "unlisted" };
  if (observation.hasLostLog) return { type: "emptied" };
  if (observation.isLeaving) return { type: "leaving" };
  const { contact } = observation;
  if (contact?.target !== observation.target || contact.failingSince === undefined)
    return undefined;
  const sinceMs = now - contact.failingSince;
  if (contact.failures < minFailures || sinceMs < minFailureMs) return undefined;
  return { type: "unreachable", sinceMs };
}
