/** Times of the failover controller, in milliseconds. */
export interface FailoverTimings {
  /** The primary answers a waiting status request at least this often. */
  readonly heartbeatMs: number;
  /** The same for replicas, whose silence delays nobody's writes. */
  readonly replicaHeartbeatMs: number;
  /** The least time that an answer may be late before the primary is suspected. */
  readonly minAllowanceMs: number;
  /** The most that a target's own slowness can raise the allowance to. */
  readonly maxAllowanceMs: number;
  /** For a suspected primary to answer on a new connection. */
  readonly confirmMs: number;
  /** What a check through another VM takes beyond the check itself. */
  readonly peerHopMs: number;
  /** For one fence or promotion. */
  readonly controlMs: number;
  /** For the targets beyond a majority to answer a fence. */
  readonly gatherMs: number;
  /** For targets to be heard at the start, before one that is not is checked. */
  readonly searchMs: number;
  /** The first wait after an election that failed; doubles up to `maxBackoffMs`, with jitter. */
  readonly backoffMs: number;
  readonly maxBackoffMs: number;
  /** How long a target may stand fenced past the term of a primary that others follow. */
  readonly settleMs: number;
  /** Between two tries of an observer that has no standing to fence. */
  readonly cutOffMs: number;
  /** Between two requests to the same target to follow. */
  readonly followMs: number;
  /** For a replica to catch up in a planned switch. */
  readonly switchMs: number;
}

/** How often a primary answers while nothing changes, where settings say nothing else. */
export const defaultHeartbeatMs = 100;

/** What an answer takes at worst on a target that is well: a stall of its disk or its processor. */
const stallMs = 100;
const confirmMs = 1.5 * stallMs;
const controlMs = 500;

/**
 * Times that fit a heartbeat. The heartbeat rules what watching costs and, with the stall that is
 * borne, how fast a silent primary is found; docs/design/failover.md has the measurements.
 */
export function createTimings(heartbeatMs: number): FailoverTimings {
  return {
    heartbeatMs,
    replicaHeartbeatMs: 2 * heartbeatMs,
    minAllowanceMs: stallMs,
    maxAllowanceMs: 2000,
    confirmMs,
    peerHopMs: 50,
    controlMs,
    gatherMs: 50,
    searchMs: heartbeatMs + confirmMs,
    backoffMs: 50,
    maxBackoffMs: 4 * controlMs,
    settleMs: 2 * controlMs,
    cutOffMs: 2 * heartbeatMs,
    followMs: controlMs,
    switchMs: 5 * controlMs,
  };
}

/** The times in use where settings say nothing else. */
export const defaultTimings: FailoverTimings = createTimings(defaultHeartbeatMs);

/** Fresh probes without an answer before an observer that no peer answers acts on its own word. */
export const lonelyRounds = 3;

/** How often a promotion whose answer is lost is asked again, before a new fencing. */
export const promotionTries = 2;

/** How a target's slowness fades with each answer in time. */
export const latenessDecay = 0.9;

/** How many times its recent slowness a target is allowed. */
export const latenessFactor = 4;

/** Rules that safety rests on. Only tests take one out, to show that it is needed. */
export interface FailoverSafeguards {
  /** A choice is made among a majority fenced at the promoter's term. */
  readonly fenceMajority: boolean;
  /** A promoter whose choice died fences a majority anew, at a new term. */
  readonly fenceAnew: boolean;
}

/** Everything on. */
export const allFailoverSafeguards: FailoverSafeguards = {
  fenceMajority: true,
  fenceAnew: true,
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
  readonly opener: string;
  readonly timings: FailoverTimings;
  readonly safeguards: FailoverSafeguards;
}
