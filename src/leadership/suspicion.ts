/** How a proxy's last statements to one group's primary went. Times are on its own clock, in milliseconds. */
export interface PrimaryContact {
  readonly target: string;
  readonly reachedAt: number | undefined;
  /** When the first failure after `reachedAt` occurred or its statement was sent; `undefined` if there was none. */
  readonly failingSince: number | undefined;
  readonly failures: number;
}

/** Why a primary should be replaced, as one proxy sees it. */
export type Suspicion =
  /** It is shutting down; the role is moved while it can still send its log to a replica. */
  | { readonly type: "leaving" }
  | { readonly type: "unreachable"; readonly sinceMs: number }
  /** The platform's list has no entry for it. */
  | { readonly type: "unlisted" }
  /** It restarted without commits that it had acknowledged. */
  | { readonly type: "emptied" };

/** Failures within this time count as one event, such as a connection reset that affects several statements. */
const minFailureMs = 250;
/** A single lost answer is not enough for a suspicion. */
const minFailures = 2;

/** Records whether a statement reached a primary. */
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
 * Records that a primary has not answered a statement sent at `since` and does not accept a new connection
 * either. This counts as `minFailures` failures, so no further failure has to be waited for.
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

/** What a proxy knows about a group's primary when it decides whether to suspect it. */
export interface PrimaryObservation {
  readonly target: string;
  readonly isListed: boolean;
  readonly isLeaving: boolean;
  readonly hasLostLog: boolean;
  readonly contact: PrimaryContact | undefined;
}

/** Finds the reason to replace a primary, if there is one. */
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
