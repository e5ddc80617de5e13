import type { FailoverPhases, GroupWatch } from "../../src/groupwatch/index.js";
import type { Clock, Disposable } from "../../src/model/index.js";
import { FakeFleet } from "./fakefleet.js";
import { createPreciseClock } from "./preciseclock.js";

/** How a primary fails: its process dies, or its machine falls silent. */
export type Failure = "kill" | "freeze";

/** Hears of each change of primary. */
export type GapListener = (gapMs: number, split: FailoverPhases) => void;

/** A group with an owner's watch, and what a measurement does to it. */
export interface Rig extends Disposable {
  readonly clock: Clock;
  readonly watch: GroupWatch;
  /** Commits a write at a target; tells whether the answer came. */
  write(target: string): Promise<boolean>;
  fail(target: string, failure: Failure): Promise<void>;
  mend(target: string): Promise<void>;
  setLag(ms: number): void;
}

/** The owner's VM among three. */
const owner = "v1";
const statementMs = 2000;

/** A rig over the group in memory, with the delays of the brief. */
export function createFakeRig(seed: number, onGap: GapListener): Rig {
  const clock = createPreciseClock();
  const fleet = new FakeFleet({ clock, seed, onGap: (_, gapMs, split) => onGap(gapMs, split) });
  const { group } = fleet;
  let written = 0;
  return {
    clock,
    watch: fleet.watch(owner),
    write: async (target) => {
      written += 1;
      return (await group.write(owner, target, `w${written}`, statementMs)) !== undefined;
    },
    fail: (target, failure) => {
      group.setState(target, failure === "kill" ? "dead" : "frozen");
      return Promise.resolve();
    },
    mend: (target) => {
      group.setState(target, "up");
      return Promise.resolve();
    },
    setLag: (ms) => {
      for (const target of group.targets) target.lagMs = ms;
    },
    dispose: () => fleet.dispose(),
  };
}
