import type { AcknowledgeSafeguards } from "../controller/acknowledge/index.js";
import type { FailoverSafeguards, FailoverTimings } from "../controller/failover/index.js";
import type { Logger } from "../log/index.js";
import type { Clock, Group, PeerClient, Random, TargetControl, Vm } from "../model/index.js";

/** What a group's watch needs of the world. */
export interface WatchPorts {
  readonly control: TargetControl;
  readonly peers: Pick<PeerClient, "checkTarget">;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** Other VMs that may be asked to check a target, the best first; two of them are. */
  readonly listCheckerVms: () => readonly Vm[];
}

/** How long each step of a change of primary took, in milliseconds. */
export interface FailoverPhases {
  /** From the old primary's last answer to the first fence. */
  readonly detectingMs: number;
  /** Until a majority was fenced. */
  readonly fencingMs: number;
  /** Until the new primary had been promoted. */
  readonly promotingMs: number;
  /** Until the first write was acknowledged. */
  readonly firstWriteMs: number;
}

/** Rules that safety rests on, all in force but where a test shows that one is needed. */
export type WatchSafeguards = FailoverSafeguards & AcknowledgeSafeguards;

/** What a group's watch is made of. */
export interface WatchOptions extends WatchPorts {
  readonly group: Group;
  readonly vm: string;
  readonly timings?: FailoverTimings;
  readonly safeguards?: WatchSafeguards;
  /** Hears of each change of primary that this VM ordered: the whole gap and its parts. */
  readonly onGap?: (gapMs: number, split: FailoverPhases) => void;
}
