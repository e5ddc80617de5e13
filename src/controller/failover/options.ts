/** Intervals and timeouts of the failover controller, in milliseconds. */
export interface FailoverTimings {
  /** The longest that the primary holds back the answer to a pending status request. */
  readonly heartbeatMs: number;
  /** The same for replicas. It may be longer, since a silent replica delays no write. */
  readonly replicaHeartbeatMs: number;
  /** The lower bound of how late an answer may be before the primary is suspected. */
  readonly minLatenessToleranceMs: number;
  /** The upper bound of the tolerance, however slow the target has been. */
  readonly maxLatenessToleranceMs: number;
  /** The timeout of a status request to a suspected primary on a new connection. */
  readonly confirmMs: number;
  /** Extra time for a check through another VM, beyond the timeout of the check itself. */
  readonly peerOverheadMs: number;
  /** The timeout of one fence, promote or follow request. */
  readonly controlTimeoutMs: number;
  /** How long to wait for further fence answers once a majority is fenced. */
  readonly extraFenceWaitMs: number;
  /** How long to wait for first answers after the start before a silent target is checked. */
  readonly searchTimeoutMs: number;
  /** The backoff after a first failed election. It doubles up to `maxBackoffMs`, with jitter. */
  readonly initialBackoffMs: number;
  readonly maxBackoffMs: number;
  /** How long a target may stay fenced at a term above the current primary's before an election. */
  readonly strayFenceGraceMs: number;
  /** The pause between two checks by an observer that may not fence the primary. */
  readonly cutOffRetryMs: number;
  /** The shortest time between two follow requests to one target. */
  readonly followRetryMs: number;
  /** How long a planned switch waits for a replica to catch up. */
  readonly switchTimeoutMs: number;
}

/** The heartbeat in use unless timings are given. */
export const defaultHeartbeatMs = 100;

/** The longest answer time of a healthy target during a stall of its disk or processor. */
const toleratedStallMs = 100;
const confirmMs = 1.5 * toleratedStallMs;
const controlTimeoutMs = 500;

/**
 * Derives all times from the heartbeat. The heartbeat determines the cost of monitoring and,
 * together with the tolerated stall, how fast a silent primary is detected. The measurements are in
 * docs/design/failover.md.
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

/** The times in use unless timings are given. */
export const defaultTimings: FailoverTimings = createTimings(defaultHeartbeatMs);

/**
 * Failed probes on new connections after which an observer without responsive peers holds an
 * election.
 */
export const probeRoundsWithoutPeers = 3;

/** Promote requests sent to one candidate without an answer before a majority is fenced again. */
export const maxPromotionAttempts = 2;

/** Factor by which a target's recorded lateness shrinks with each answer. */
export const latenessDecay = 0.9;

/** The tolerance is this multiple of a target's recorded lateness. */
export const latenessToleranceFactor = 4;

/** Rules that safety depends on. Only tests disable one, to show that it is needed. */
export interface FailoverSafeguards {
  /** A candidate is chosen only once a majority is fenced at the promoter's term. */
  readonly fenceMajority: boolean;
  /** A promoter whose candidate does not answer fences a majority again, at a new term. */
  readonly refenceMajority: boolean;
}

/** All safeguards enabled. */
export const allFailoverSafeguards: FailoverSafeguards = {
  fenceMajority: true,
  refenceMajority: true,
};

/** The fixed parameters of one group's failover controller. */
export interface FailoverOptions {
  readonly group: string;
  readonly targets: readonly string[];
  /**
   * The `vm` of the terms that this controller opens. It must differ between two runs on one VM.
   * Otherwise a restarted VM, which does not know its last term, could open that term again and
   * promote a second target in it, and two primaries of one term would both acknowledge writes.
   */
  readonly promoterName: string;
  readonly timings: FailoverTimings;
  readonly safeguards: FailoverSafeguards;
}
