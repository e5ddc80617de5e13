import type { AcknowledgeSafeguards } from "../controller/acknowledge/index.js";
import type { FailoverSafeguards, FailoverTimings } from "../controller/failover/index.js";
import type { Logger } from "../log/index.js";
import type { Clock, Group, PeerClient, Random, TargetControl, Vm } from "../model/index.js";

/** Dependencies of a `GroupWatch`. */
export interface WatchPorts {
  readonly control: TargetControl;
  readonly peers: Pick<PeerClient, "checkTarget">;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** Other VMs that can check a target, in order of preference. Only the first two are asked. */
  readonly listCheckerVms: () => readonly Vm[];
}

/** Durations of the phases of a failover, in milliseconds. */
export interface FailoverPhases {
  /** From the old primary's last answer to the first fence request. */
  readonly detectingMs: number;
  /** Until a majority was fenced. */
  readonly fencingMs: number;
  /** Until the new primary had been promoted. */
  readonly promotingMs: number;
  /** Until the first write was acknowledged. */
  readonly firstWriteMs: number;
}

/** Safety rules, all enabled except in tests that show that a rule is needed. */
export type WatchSafeguards = FailoverSafeguards & AcknowledgeSafeguards;

/** Options of a `GroupWatch`. */
export interface WatchOptions extends WatchPorts {
  readonly group: Group;
  readonly vm: string;
  readonly timings?: FailoverTimings;
  readonly safeguards?: WatchSafeguards;
  /** Called after each failover that this VM carried out, with the time without a primary and its phases. */
  readonly onGap?: (gapMs: number, split: FailoverPhases) => void;
}
