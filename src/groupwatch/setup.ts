import { allAcknowledgeSafeguards } from "../controller/acknowledge/index.js";
import {
  allFailoverSafeguards,
  defaultTimings,
  type FailoverOptions,
} from "../controller/failover/index.js";
import type { Random } from "../model/index.js";
import type { WatchOptions, WatchSafeguards } from "./ports.js";

/** All safety rules enabled. */
export const allWatchSafeguards: WatchSafeguards = {
  ...allFailoverSafeguards,
  ...allAcknowledgeSafeguards,
};

/** Builds the options of the group's failover controller. */
export function buildFailoverOptions(options: WatchOptions): FailoverOptions {
  const { group, vm, random, timings, safeguards } = options;
  return {
    group: group.name,
    targets: group.targets.map((t) => t.name),
    promoterName: `${vm}-${drawNonce(random)}`,
    timings: timings ?? defaultTimings,
    safeguards: safeguards ?? allWatchSafeguards,
  };
}

/** Draws the suffix of a promoter's name that distinguishes two runs of the process on one VM. */
function drawNonce(random: Random): string {
  return Math.floor(random.draw() * 2 ** 32)
    .toString(16)
    .padStart(8, "0");
}
