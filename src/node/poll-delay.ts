/**
 * Between two looks at the store. A configuration is in force within this and one answer, a permission
 * to use primaries (1.6 s) outlives one look that fails. Each look costs a call.
 */
const pollIntervalMs = 700;
/** After a failed look the next comes sooner. */
const retryMs = 250;
/** The pace of a process that knows nothing yet, or may use no primaries: callers wait for what it brings. */
const startupRetryMs = 100;
/**
 * The pace of a process that is not listed and has nobody to follow, in milliseconds: most of a fleet are
 * such, and at a first start, or with the store away, all of them ask it.
 */
const unlistedRetryMs = 500;
/**
 * The pace of a process that was started while the store is away: after a loss of power all callers wait
 * for its return. Spared like the others it would ask again only after up to 4.5 s.
 */
const outageStartRetryMs = 150;
/** The share of the store's reads that the looks of all proxies may take. */
const maxStoreReadShare = 0.25;
/**
 * Between two questions to the reader, in milliseconds. Its own last look may be 0.8 s old by then, and
 * the permission to use primaries (1.6 s) has to outlive that, one pause and one question that fails.
 */
const readerPollIntervalMs = 400;
/** The shortest and longest time between two questions of a process that is not listed, in milliseconds. */
const minUnlistedFollowMs = 400;
const maxUnlistedFollowMs = 1200;
/**
 * The share of a configuration's time to be in force that may pass until such a process asks: the reader
 * looks each 0.7 s and the one that is asked follows it by 0.4 s, which leaves two fifths of 3 s unused.
 */
const unlistedFollowShare = 0.2;

/** What decides when a node asks again what there is to know. */
export interface PollConditions {
  /** Whether it holds no connections and uses no primaries, and others run its callers' statements. */
  readonly isUnlisted: boolean;
  readonly hasPeers: boolean;
  /** Whether it knows routes and targets. */
  readonly isInitialised: boolean;
  /** Whether it has ever been confirmed who leads. */
  readonly isConfirmed: boolean;
  /** Whether another proxy has told it what it asked last. */
  readonly isFollowing: boolean;
  readonly isAnswered: boolean;
  /** Whether the store did not answer last. */
  readonly isStoreUnavailable: boolean;
  /** Proxies that are listed. */
  readonly proxyCount: number;
  readonly storeReadsPerSecond: number;
  readonly configurationApplyMs: number;
}

/** The pause until the next question, in milliseconds; it keeps all within their share of the store's reads. */
export function computePollDelayMs(question: PollConditions): number {
  const {
    isUnlisted,
    isInitialised: isInformed,
    isFollowing,
    isAnswered,
    storeReadsPerSecond,
  } = question;
  const leastMs = (question.proxyCount / (storeReadsPerSecond * maxStoreReadShare)) * 1000;
  if (isUnlisted) {
    if (question.isStoreUnavailable && !isInformed) return Math.max(outageStartRetryMs, leastMs);
    return isFollowing ? computeUnlistedFollowMs(question.configurationApplyMs) : unlistedRetryMs;
  }
  const isNew = !isInformed || !question.isConfirmed;
  if (isNew && question.hasPeers) return Math.max(startupRetryMs, leastMs);
  if (isFollowing) return readerPollIntervalMs;
  return Math.max(isAnswered ? pollIntervalMs : retryMs, leastMs);
}

/** Between two questions of a process that is not listed: it uses no primaries, and is in no hurry. */
function computeUnlistedFollowMs(configurationApplyMs: number): number {
  const share = configurationApplyMs * unlistedFollowShare;
  return Math.max(minUnlistedFollowMs, Math.min(maxUnlistedFollowMs, share));
}
