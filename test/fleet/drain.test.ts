import { expect, test } from "@jest/globals";
import { DrainRunner } from "../../src/fleet/index.js";
import { silentLogger } from "../../src/log/index.js";
import { setViolationHandler } from "../../src/model/index.js";
import { FakeClock } from "./fakes.js";

const makeDrain = (inFlight: () => number) => {
  const clock = new FakeClock();
  const steps: string[] = [];
  const keeper = new DrainRunner({
    clock,
    logger: silentLogger,
    timings: { announceMs: 3000, limitMs: 10_000 },
    countInFlight: inFlight,
    onAnnounce: () => void steps.push("announce"),
    onRefuseNew: () => void steps.push("refuseNew"),
  });
  return { clock, keeper, steps };
};

// The balancer sends callers for a moment after the page turned not ready.
// A process that refused them at once, or ended at once, would cut off requests of a graceful stop.
// It announces, serves on, refuses only then, and ends when the last request has finished.
test("a drain announces, waits for what is in flight, and then ends", async () => {
  let inFlight = 2;
  const { clock, keeper, steps } = makeDrain(() => inFlight);
  const state = { isDone: false };
  void keeper.drain().then(() => (state.isDone = true));
  expect(keeper.isLeaving()).toBe(true);
  await clock.advance(2900);
  expect(steps).toEqual(["announce"]);
  await clock.advance(5000);
  expect(steps).toEqual(["announce", "refuseNew"]);
  expect(state.isDone).toBe(false);
  inFlight = 0;
  await clock.advance(100);
  expect(state.isDone).toBe(true);
  expect(keeper.drain()).toBe(keeper.drain());
});

test("requests cut off at the limit break an invariant out loud", async () => {
  const broken: string[] = [];
  const before = setViolationHandler((invariant) => void broken.push(invariant));
  const { clock, keeper } = makeDrain(() => 1);
  void keeper.drain();
  await clock.advance(14_000);
  setViolationHandler(before);
  expect(broken).toEqual(["gracefulShutdown"]);
});
