import { createTimings, type FailoverTimings } from "../../src/controller/failover/index.js";
import type { Random } from "../../src/model/index.js";
import { createRandom, FakeFleet } from "./fakefleet.js";
import { VirtualClock } from "./virtualclock.js";

/** How often stalls of one length cost a primary that lives its role. */
export interface StallReport {
  readonly heartbeatMs: number;
  readonly confirmMs: number;
  readonly stallMs: number;
  /** Share of the stalls after which another target led. */
  readonly needless: number;
}

const heartbeats = [50, 100, 250];
const confirms = [50, 100, 150, 200];
const stalls = [50, 100, 150, 200, 300, 400];
const settleMs = 2000;

/** Stalls an idle primary at random moments, on a virtual clock. */
export async function measureStalls(
  samples: number,
  seed: number,
): Promise<readonly StallReport[]> {
  const reports: StallReport[] = [];
  for (const heartbeatMs of heartbeats) {
    for (const confirmMs of confirms) {
      const timings = { ...createTimings(heartbeatMs), confirmMs };
      for (const stallMs of stalls) {
        const random = createRandom(seed);
        const needless = await countNeedless(timings, stallMs, samples, random);
        reports.push({ heartbeatMs, confirmMs, stallMs, needless: needless / samples });
      }
    }
  }
  return reports;
}

async function countNeedless(
  timings: FailoverTimings,
  stallMs: number,
  samples: number,
  random: Random,
): Promise<number> {
  let needless = 0;
  for (let i = 0; i < samples; i += 1) {
    const clock = new VirtualClock();
    const fleet = new FakeFleet({ clock, seed: i, timings });
    const watch = fleet.watch("v1");
    await clock.advance(settleMs + random.draw() * timings.heartbeatMs);
    const primary = watch.getView().primary?.target;
    if (primary === undefined) throw new Error("no primary");
    fleet.group.setState(primary, "frozen");
    await clock.advance(stallMs);
    fleet.group.setState(primary, "up");
    await clock.advance(settleMs);
    if (fleet.group.promotions.length > 1) needless += 1;
    await fleet.dispose();
  }
  return needless;
}
