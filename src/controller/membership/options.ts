/** Parameters of the failure detector; times are in milliseconds. */
export interface MembershipOptions {
  /** The interval between two probes, whatever the size of the fleet. */
  readonly probeIntervalMs: number;
  /** How long a suspect can refute the suspicion before it is declared down. */
  readonly suspicionTimeoutMs: number;
  /** How many VMs are asked to probe a silent one indirectly. */
  readonly helperCount: number;
  /** One in this many ticks probes a VM that is down, to rediscover it after a partition. */
  readonly downProbeTicks: number;
  /** The maximum of news items about other VMs in one message. */
  readonly newsPerMessage: number;
  /** A longer gap between two events means that this process was paused. */
  readonly maxEventGapMs: number;
  /** How long a VM that is down and no longer listed is kept. */
  readonly forgetDownAfterMs: number;
}

/** The default parameters. The figures in docs/CAPACITY.md apply to them. */
export const defaultMembershipOptions: MembershipOptions = {
  probeIntervalMs: 1000,
  suspicionTimeoutMs: 3000,
  helperCount: 2,
  downProbeTicks: 8,
  newsPerMessage: 6,
  maxEventGapMs: 3000,
  forgetDownAfterMs: 600_000,
};
