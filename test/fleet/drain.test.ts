import { expect, test } from "@jest/globals";
import { DrainRunner } from "../../src/fleet/index.js";
import { silentLogger } from "../../src/log/index.js";
import { setViolationHandler } from "../../src/model/index.js";
import { FakeClock } from "./fakes.js";

const makeDrain = (inFlight: () => number) => {
  const clock = new FakeClock();
  const steps: string[] = [];
  const runner = new DrainRunner({
    clock,
    logger: silentLogger,
    timings: { announceMs: 3000, limitMs: 10_000 },
    countInFlight: inFlight,
    onAnnounce: () => void steps.push("announce"),
    onRefuseNew: () => void steps.push("refuseNew"),
  });
  return { clock, runner, steps };
};

// A load balancer still sends callers for a while after the readiness check starts to fail.
// A process that refused them or exited at once would cut off requests during a graceful shutdown.
// It announces that it is leaving, keeps serving, then refuses new callers, and ends after the last
// request.
test("a drain announces leaving, waits for the requests in flight, and then ends", async () => {
  let inFlight = 2;
  const { clock, runner, steps } = makeDrain(() => inFlight);
  const state = { isDone: false };
  void runner.drain().then(() => (state.isDone = true));
  expect(runner.isLeaving()).toBe(true);
  await clock.advance(2900);
  expect(steps).toEqual(["announce"]);
  await clock.advance(5000);
  expect(steps).toEqual(["announce", "refuseNew"]);
  expect(state.isDone).toBe(false);
  inFlight = 0;
  await clock.advance(100);
  expect(state.isDone).toBe(true);
  expect(runner.drain()).toBe(runner.drain());
});

test("requests cut off at the time limit are reported as an invariant violation", async () => {
  const violations: string[] = [];
  const before = setViolationHandler((invariant) => void violations.push(invariant));
  const { clock, runner } = makeDrain(() => 1);
  void runner.drain();
  await clock.advance(14_000);
  setViolationHandler(before);
  expect(violations).toEqual(["gracefulShutdown"]);
});
