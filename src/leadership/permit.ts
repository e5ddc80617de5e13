/**
 * How long a proxy may act on what it last confirmed of the leadership, in milliseconds. A change of
 * primary waits this long for a proxy that does not answer; a look at the store every 0.7 s may fail once.
 */
export const permitMs = 1600;

/**
 * The permission to use primaries. A proxy that is cut off from the others could go on reading at a
 * primary that was replaced, and see none of the commits since. So each relies on the leadership only
 * for a while after it was confirmed by the store or by a majority of proxies, and whoever replaces a
 * primary first hears from every proxy or waits until that while is over.
 */
export interface Permit {
  /** When the question was sent whose answer confirmed the leadership last. */
  readonly confirmedAt: number | undefined;
}

/** Nothing is confirmed yet. */
export const noPermit: Permit = { confirmedAt: undefined };

/** Extends the permission; an older confirmation does not shorten it. */
export function extendPermit(permit: Permit, confirmedAt: number): Permit {
  const known = permit.confirmedAt;
  return known !== undefined && known >= confirmedAt ? permit : { confirmedAt };
}

/** Whether primaries may be used at `now`. */
export function isPermitted({ confirmedAt }: Permit, now: number): boolean {
  return confirmedAt !== undefined && now - confirmedAt < permitMs;
}

/** An answer of another proxy to the question who leads. */
export interface PeerVersion {
  /** The version of the document that it holds to. */
  readonly version: number;
}

/**
 * How long after the store's last answer to any of them proxies may confirm one another, in
 * milliseconds. Without a bound those in the larger part of a cut would do so for as long as it lasts, while
 * the smaller part replaces a primary that they go on using; callers would read old data there and be
 * told of writes that are lost. Longer than an outage of the store usually lasts, 4 to 9 s, so that one
 * stops nobody; `minorityWaitMs` is what makes it enough.
 */
export const maxStoreAnswerAgeMs = 10_000;

/**
 * How long a change of primary waits at most for proxies of which it could not tell a majority, in
 * milliseconds. Those, cut off from the store and from whoever carries the change out, may confirm one
 * another and go on using the old primary. The store's last answer to any of them was to a question
 * from before the change stood there; from then on they confirm one another for `peerConfirmMs`, and use
 * the last permission to its end. The rest is for the difference between two steady clocks.
 */
export const noMajorityWaitMs = maxStoreAnswerAgeMs + permitMs + 400;
/** Added to a permission's time, for the difference between two steady clocks and their timers. */
const clockMarginMs = 150;

/** What a change of primary knows of the proxies that it has to tell. Times are on its clock. */
export interface NotificationProgress {
  readonly startedAt: number;
  /** All that are registered, the one that carries it out included. */
  readonly proxyCount: number;
  /** When each that was told had answered, the one that carries it out included. */
  readonly notifiedAt: readonly number[];
}

/**
 * Until when a change of primary has to wait: not at all once all are told. With a majority told no
 * other majority confirms anybody any more, and permissions from before lapse.
 */
export function findWaitEnd({
  startedAt: begunAt,
  proxyCount: proxies,
  notifiedAt: toldAt,
}: NotificationProgress): number {
  if (toldAt.length >= proxies) return begunAt;
  const latestEnd = begunAt + noMajorityWaitMs;
  const majorityToldAt = [...toldAt].sort((a, b) => a - b)[Math.floor(proxies / 2)];
  if (majorityToldAt === undefined) return latestEnd;
  return Math.min(latestEnd, majorityToldAt + permitMs + clockMarginMs);
}

/**
 * Whether the answers of other proxies confirm `version` while the store can't be reached: a majority
 * of all, this one included, holds to no newer document, and the store's last answer to any of them was
 * to a question sent at `storeAskedAt`, not long before `now`. A change of primary has to tell a majority
 * before it goes on, so that at least one of any majority would know of it, or waits `minorityWaitMs`.
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
