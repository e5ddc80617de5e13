import type { NodeFault, TimedFault } from "./fault.js";
import { computeEarnedShare, type ServedShare } from "./tally.js";

const msPerSecond = 1000;
/** The part of what was earned before the first fault that counts as earned again. */
const recoveredPart = 0.9;
/** A second with less than this was not whole, as traffic ended in it. */
const minSecondPart = 0.5;

/** How long after the end of every fault it took until a run earned again what it earned before the first one. */
export type Recovery =
  /** There was no fault, no whole second before the first one, or none after the last one. */
  | { readonly type: "notJudged" }
  | { readonly type: "recovered"; readonly afterMs: number }
  /** The traffic ended before. */
  | { readonly type: "notRecovered"; readonly watchedMs: number };

/** Measures the recovery of a run from what was earned in each second. Other processes on the machine are no fault. */
export function measureRecovery(
  seconds: readonly ServedShare[],
  faults: readonly TimedFault[],
): Recovery {
  const struck = faults.filter(({ fault }) => fault.type !== "busyProcessor");
  const startMs = Math.min(...struck.map(({ atMs }) => atMs));
  const endMs = Math.max(...struck.map(findFaultEndMs));
  const startOf = ({ name }: ServedShare) => Number(name) * msPerSecond;
  const before = seconds.filter((second) => startOf(second) + msPerSecond <= startMs);
  const usual = Math.max(...before.map(({ asked }) => asked));
  const after = seconds.filter(
    (second) => startOf(second) >= endMs && second.asked >= usual * minSecondPart,
  );
  const last = after.at(-1);
  if (struck.length === 0 || before.length === 0 || last === undefined)
    return { type: "notJudged" };
  const wanted = recoveredPart * Math.max(...before.map(computeEarnedShare));
  const missed = after.findLast((second) => computeEarnedShare(second) < wanted);
  if (missed === last)
    return { type: "notRecovered", watchedMs: startOf(last) + msPerSecond - endMs };
  return {
    type: "recovered",
    afterMs: missed === undefined ? 0 : startOf(missed) + msPerSecond - endMs,
  };
}

/** Describes a recovery that took longer than it may; undefined if it didn't. */
export function findSlowRecovery(recovery: Recovery, limitMs: number): string | undefined {
  switch (recovery.type) {
    case "notJudged":
      return undefined;
    case "recovered":
      return recovery.afterMs <= limitMs
        ? undefined
        : `recovered ${recovery.afterMs} ms after the last fault, later than ${limitMs}`;
    case "notRecovered":
      return recovery.watchedMs < limitMs
        ? undefined
        : `not recovered ${recovery.watchedMs} ms after the last fault, later than ${limitMs}`;
  }
}

/** When a fault is over, in milliseconds since traffic started. */
export function findFaultEndMs({ atMs, fault }: TimedFault): number {
  return atMs + findDurationMs(fault);
}

/** Faults without a time are over at once. */
function findDurationMs(fault: NodeFault): number {
  if (fault.type === "backend") return findDurationMsOf(fault.command);
  if (fault.type === "disturbNodes") return findDurationMsOf(fault.disturbance);
  if (fault.type === "restartNodes") return fault.nodes.length * fault.gapMs + fault.downMs;
  if (fault.type === "killHolders") return fault.forMs + fault.downMs;
  return findDurationMsOf(fault);
}

function findDurationMsOf(fault: object): number {
  const { forMs = 0, downMs = 0, afterMs = 0 } = fault as Partial<Record<string, number>>;
  return Math.max(forMs, downMs, afterMs);
}
