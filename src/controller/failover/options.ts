/** Times of the failover controller, in milliseconds. */
export interface FailoverTimings {
  /** The primary answers a waiting status request at least this often. */
  readonly heartbeatMs: number;
  /** The same for replicas, whose silence delays nobody's writes. */
  readonly replicaHeartbeatMs: number;
  /** The least time that an answer may be late before the primary is suspected. */
  readonly minLatenessToleranceMs: number;
  /** The most that a target's own slowness can raise the allowance to. */
  readonly maxLatenessToleranceMs: number;
  /** For a suspected primary to answer on a new connection. */
  readonly confirmMs: number;
  /** What a check through another VM takes beyond the check itself. */
  readonly peerOverheadMs: number;
  /** For one fence or promotion. */
  readonly controlTimeoutMs: number;
  /** For the targets beyond a majority to answer a fence. */
  readonly extraFenceWaitMs: number;
  /** For targets to be heard at the start, before one that is not is checked. */
  readonly searchTimeoutMs: number;
  /** The first wait after an election that failed; doubles up to `maxBackoffMs`, with jitter. */
  readonly initialBackoffMs: number;
  readonly maxBackoffMs: number;
  /** How long a target may stand fenced past the term of a primary that others follow. */
  readonly strayFenceGraceMs: number;
  /** Between two tries of an observer that has no standing to fence. */
  readonly cutOffRetryMs: number;
  /** Between two requests to the same target to follow. */
  readonly followRetryMs: number;
  /** For a replica to catch up in a planned switch. */
  readonly switchTimeoutMs: number;
}

/** How often a primary answers while nothing changes, where settings say nothing else. */
export const defaultHeartbeatMs = 100;

/** What an answer takes at worst on a target that is well: a stall of its disk or its processor. */
const toleratedStallMs = 100;
const confirmMs = 1.5 * toleratedStallMs;
const controlTimeoutMs = 500;

/**
 * Times that fit a heartbeat. The heartbeat rules what watching costs and, with the stall that is
 * borne, how fast a silent primary is found; docs/design/failover.md has the measurements.
 */
export function createTimings(heartbeatMs: number): FailoverTimings {
  return {
    heartbeatMs,
    replicaHeartbeatMs: 2 * heartbeatMs,
    minLatenessToleranceMs: toleratedStallMs,
    maxLatenessToleranceMs: 2000,
    confirmMs,
    peerOverheadMs: 50,
    controlTimeoutMs,
    extraFenceWaitMs: 50,
    searchTimeoutMs: heartbeatMs + confirmMs,
    initialBackoffMs: 50,
    maxBackoffMs: 4 * controlTimeoutMs,
    strayFenceGraceMs: 2 * controlTimeoutMs,
    cutOffRetryMs: 2 * heartbeatMs,
    followRetryMs: controlTimeoutMs,
    switchTimeoutMs: 5 * controlTimeoutMs,
  };
}

/** The times in use where settings say nothing else. */
export const defaultTimings: FailoverTimings = createTimings(defaultHeartbeatMs);

/** Fresh probes without an answer before an observer that no peer answers acts on its own word. */
export const probeRoundsWithoutPeers = 3;

/** How often a promotion whose answer is lost is asked again, before a new fencing. */
export const maxPromotionAttempts = 2;

/** How a target's slowness fades with each answer in time. */
export const latenessDecay = 0.9;

/** How many times its recent slowness a target is allowed. */
export const latenessToleranceFactor = 4;

/** Rules that safety rests on. Only tests take one out, to show that it is needed. */
export interface FailoverSafeguards {
  /** A choice is made among a majority fenced at the promoter's term. */
  readonly fenceMajority: boolean;
  /** A promoter whose choice died fences a majority anew, at a new term. */
  readonly refenceMajority: boolean;
}

/** Everything on. */
export const allFailoverSafeguards: FailoverSafeguards = {
  fenceMajority: true,
  refenceMajority: true,
};

/** What a failover controller is made of. */
export interface FailoverOptions {
  readonly group: string;
  readonly targets: readonly string[];
  /**
   * The name in the terms that this controller opens. It must differ between two runs on one VM: a
   * restarted VM that had forgotten its last term could open it again and promote a second target in
   * it, and two primaries of one term would both acknowledge.
   */
  readonly promoterName: string;
  readonly timings: FailoverTimings;
  readonly safeguards: FailoverSafeguards;
}
