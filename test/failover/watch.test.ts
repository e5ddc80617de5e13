import { expect, test } from "@jest/globals";
import { FakeFleet } from "../../bench/failover/fakefleet.js";
import { VirtualClock } from "../../bench/failover/virtualclock.js";

test("a group with no primary gets one", async () => {
  const clock = new VirtualClock();
  const fleet = new FakeFleet({ clock, seed: 1 });
  const watch = fleet.watch("v1");
  expect(await clock.advance(2000, () => watch.view().primary !== undefined)).toBe(true);
  const w = fleet.write("v1", "w1", "replicated", 1000);
  await clock.advance(1000);
  expect(await w).toBe("acknowledged");
  await fleet.dispose();
});
