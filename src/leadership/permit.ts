/**
 * How long a proxy may use primaries after its leadership state was last confirmed. A change of primary
 * waits this long for a proxy that does not answer. Proxies read the store every 0.7 s, so that one read may fail.
 */
export const permitMs = 1600;

/**
 * The time-limited permit to use primaries. Without it, a proxy behind a network partition could go on
 * reading from a primary that has been replaced and miss every later commit. A permit expires `permitMs`
 * after the store or a majority of proxies confirmed the leadership state. A change promotes
 * a new primary only once every proxy has acknowledged the change or its permit has expired, so that no proxy uses
 * the old primary afterwards.
 */
export interface Permit {
  /** When the last request was sent whose answer confirmed the leadership state. */
  readonly confirmedAt: number | undefined;
}

/** The permit before the first confirmation. */
export const noPermit: Permit = { confirmedAt: undefined };

/** Extends the permit; an older confirmation does not shorten it. */
export function extendPermit(permit: Permit, confirmedAt: number): Permit {
  const known = permit.confirmedAt;
  return known !== undefined && known >= confirmedAt ? permit : { confirmedAt };
}

/** Whether primaries may be used at `now`. */
export function isPermitted({ confirmedAt }: Permit, now: number): boolean {
  return confirmedAt !== undefined && now - confirmedAt < permitMs;
}

/** Another proxy's answer, as far as a confirmation needs it. */
export interface PeerVersion {
  /** The version of its leadership document. */
  readonly version: number;
}

/**
 * How long proxies may confirm one another after the store last answered any of them. Without this bound, the
 * majority side of a network partition would do so for as long as the partition lasts, while the minority side
 * reaches the store and replaces a primary that the majority still uses: callers there would read old data and
 * get acknowledgements for writes that are lost. Store outages usually last 4 to 9 s; this is longer, so that they
 * do not interrupt service. It suffices because a change that cannot notify a majority waits `noMajorityWaitMs`.
 */
export const maxStoreAnswerAgeMs = 10_000;

/**
 * How long a change of primary waits if it cannot notify a majority of proxies. The proxies that are cut off from
 * the store and from this one may confirm one another and go on using the old primary. The store last answered them
 * before the change was stored; they confirm one another for at most `maxStoreAnswerAgeMs` from then, and the last
 * permit gained that way lasts `permitMs`. The remainder allows for differences between the proxies' monotonic clocks.
 */
export const noMajorityWaitMs = maxStoreAnswerAgeMs + permitMs + 400;
/** Added to a permit's duration for differences between the proxies' monotonic clocks and timers. */
const clockMarginMs = 150;

/** Which proxies a change of primary has notified. Times are on the clock of the proxy that carries it out. */
export interface NotificationProgress {
  readonly startedAt: number;
  /** The number of registered proxies, including the one that carries out the change. */
  readonly proxyCount: number;
  /** When each notified proxy had answered, including the one that carries out the change. */
  readonly notifiedAt: readonly number[];
}

/**
 * Finds the time until which a change of primary has to wait; there is no wait once all proxies are notified. After
 * a majority is notified, no majority can confirm the old document any more, and only earlier permits have to expire.
 */
export function findWaitEnd({ startedAt, proxyCount, notifiedAt }: NotificationProgress): number {
  if (notifiedAt.length >= proxyCount) return startedAt;
  const latestEnd = startedAt + noMajorityWaitMs;
  const majorityNotifiedAt = [...notifiedAt].sort((a, b) => a - b)[Math.floor(proxyCount / 2)];
  if (majorityNotifiedAt === undefined) return latestEnd;
  return Math.min(latestEnd, majorityNotifiedAt + permitMs + clockMarginMs);
}

/**
 * Whether the answers of other proxies confirm `version` while the store is unreachable. A majority of all proxies,
 * this one included, must have no newer document, and the request that the store last answered, sent at `storeAskedAt`,
 * must be at most `maxStoreAnswerAgeMs` old. This is safe because a change of primary notifies a majority before it
 * proceeds, so that every majority contains a proxy that knows of it, or else waits `noMajorityWaitMs`.
 */
export function isConfirmedByPeers(
  version: number,
  answers: readonly PeerVersion[],
  proxyCount: number,
  storeAskedAt: number | undefined,
  now: number,
): boolean {
  if (storeAskedAt === undefined || now - storeAskedAt > maxStoreAnswerAgeMs) return false;
  const agreeing = answers.filter((answer) => answer.version <= version).length;
  return agreeing === answers.length && agreeing + 1 > proxyCount / 2;
}
