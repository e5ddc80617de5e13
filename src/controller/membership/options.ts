/** Times in milliseconds and counts of the failure detector. */
export interface MembershipOptions {
  /** One probe is begun in each such period, whatever the size of the fleet. */
  readonly probeIntervalMs: number;
  /** How long a suspected VM has to refute before it is taken for down. */
  readonly suspicionTimeoutMs: number;
  /** VMs that are asked to probe a silent one. */
  readonly helperCount: number;
  /** Every so many ticks a VM that is down is probed, to find it back after a partition. */
  readonly downProbeTicks: number;
  /** News carried by one message. */
  readonly newsPerMessage: number;
  /** A longer time without an event means that this process stood still. */
  readonly maxEventGapMs: number;
  /** How long a VM that is down and no longer listed is remembered. */
  readonly forgetDownAfterMs: number;
}

/** What the figures in docs/CAPACITY.md are for. */
export const defaultMembershipOptions: MembershipOptions = {
  probeIntervalMs: 1000,
  suspicionTimeoutMs: 3000,
  helperCount: 2,
  downProbeTicks: 8,
  newsPerMessage: 6,
  maxEventGapMs: 3000,
  forgetDownAfterMs: 600_000,
};
