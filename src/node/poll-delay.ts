/**
 * Interval between polls of the store, in milliseconds. A new configuration is applied within this time
 * plus one answer, and a permit to use primaries (1.6 s) outlives one failed poll. Each poll costs a call.
 */
const pollIntervalMs = 700;
/** Delay after a failed poll, in milliseconds. */
const retryMs = 250;
/** Delay while no configuration or no permit is known yet, in milliseconds: callers wait for it. */
const startupRetryMs = 100;
/**
 * Delay of an unlisted process that has no proxy to poll through, in milliseconds. Most of a fleet are
 * unlisted, and at a first start or while the store is unavailable all of them poll it.
 */
const unlistedRetryMs = 500;
/**
 * Delay of an unlisted process that started while the store is unavailable, in milliseconds. After a power
 * failure all callers wait for the store; with the limits of `unlistedPollMs` in the follower, this process
 * would poll it again only after up to 4.5 s.
 */
const outageStartRetryMs = 150;
/** The share of the store's read capacity that the polls of all proxies may take. */
const maxStoreReadShare = 0.25;
/**
 * Interval between requests to the reader, in milliseconds. The reader's own last poll may be 0.8 s old by
 * then; the permit to use primaries (1.6 s) must outlive that age, one interval and one failed request.
 */
const readerPollIntervalMs = 400;
/** Bounds of the interval between requests of an unlisted process to its upstream, in milliseconds. */
const minUnlistedFollowMs = 400;
const maxUnlistedFollowMs = 1200;
/**
 * The share of `configurationApplyMs` that may pass between two requests of an unlisted process. The reader
 * polls every 0.7 s and the upstream asks it every 0.4 s, so that two fifths of 3 s remain unused.
 */
const unlistedFollowShare = 0.2;

/** The conditions that determine when a node polls next. */
export interface PollConditions {
  /** Whether the node holds no connections to targets, so that other nodes run its callers' statements. */
  readonly isUnlisted: boolean;
  readonly hasPeers: boolean;
  /** Whether it knows a configuration and a listing of the targets. */
  readonly isInitialised: boolean;
  /** Whether the leadership that it knows has been confirmed, however long ago. */
  readonly isConfirmed: boolean;
  /** Whether its last poll was answered by another proxy. */
  readonly isFollowing: boolean;
  readonly isAnswered: boolean;
  /** Whether the last request to the store failed. */
  readonly isStoreUnavailable: boolean;
  /** The number of listed proxies. */
  readonly proxyCount: number;
  readonly storeReadsPerSecond: number;
  readonly configurationApplyMs: number;
}

/** Computes the delay until the next poll, in milliseconds, within the proxies' share of store reads. */
export function computePollDelayMs(conditions: PollConditions): number {
  const { isUnlisted, isInitialised, isFollowing, isAnswered, storeReadsPerSecond } = conditions;
  const minMs = (conditions.proxyCount / (storeReadsPerSecond * maxStoreReadShare)) * 1000;
  if (isUnlisted) {
    if (conditions.isStoreUnavailable && !isInitialised) return Math.max(outageStartRetryMs, minMs);
    return isFollowing ? computeUnlistedFollowMs(conditions.configurationApplyMs) : unlistedRetryMs;
  }
  const isNew = !isInitialised || !conditions.isConfirmed;
  if (isNew && conditions.hasPeers) return Math.max(startupRetryMs, minMs);
  if (isFollowing) return readerPollIntervalMs;
  return Math.max(isAnswered ? pollIntervalMs : retryMs, minMs);
}

/** The interval of an unlisted process, which uses no primaries and therefore needs no recent permit. */
function computeUnlistedFollowMs(configurationApplyMs: number): number {
  const share = configurationApplyMs * unlistedFollowShare;
  return Math.max(minUnlistedFollowMs, Math.min(maxUnlistedFollowMs, share));
}
