/** Times in milliseconds and counts of the failure detector. */
export interface MembershipOptions {
  /** One probe is begun in each such period, whatever the size of the fleet. */
  readonly tickMs: number;
  /** How long a suspected VM has to refute before it is taken for down. */
  readonly suspicionMs: number;
  /** VMs that are asked to probe a silent one. */
  readonly helpers: number;
  /** Every so many ticks a VM that is down is probed, to find it back after a partition. */
  readonly downEvery: number;
  /** News carried by one message. */
  readonly newsPerMessage: number;
  /** A longer time without an event means that this process stood still. */
  readonly pauseMs: number;
  /** How long a VM that is down and no longer listed is remembered. */
  readonly forgetMs: number;
}

/** What the figures in docs/CAPACITY.md are for. */
export const membershipOptions: MembershipOptions = {
  tickMs: 1000,
  suspicionMs: 3000,
  helpers: 2,
  downEvery: 8,
  newsPerMessage: 6,
  pauseMs: 3000,
  forgetMs: 600_000,
};
