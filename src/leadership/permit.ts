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
export interface PeerWord {
  /** The version of the document that it holds to. */
  readonly version: number;
}

/**
 * Whether the answers of other proxies confirm `version` while the store can't be reached: a majority
 * of all, this one included, holds to no newer document. A change of primary has to tell a majority
 * before it goes on, so that at least one of any majority would know of it.
 */
export function isConfirmedByPeers(
  version: number,
  answers: readonly PeerWord[],
  proxies: number,
): boolean {
  const agreeing = answers.filter((answer) => answer.version <= version).length;
  return agreeing === answers.length && agreeing + 1 > proxies / 2;
}
