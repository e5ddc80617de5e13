import { expect, test } from "@jest/globals";
import { createRandom } from "../../bench/admission/random.js";
import { drawArrivals, type Arrival } from "../../bench/levels/workload.js";
import { World } from "../../bench/load-feedback/world.js";

const nodes = 300;
/** The last 2 s are a burst of stale reads. */
const loadMs = 10_000;
const drainMs = 3000;
/** The callers are at so many nodes. */
const callerNodes = 3;

/** Plays a burst on virtual time. */
function play(hasReports: boolean) {
  const arrivals = drawArrivals("staleBurst", nodes, loadMs, createRandom(1));
  const world = new World(callerNodes, hasReports, createRandom(2));
  const random = createRandom(3);
  const findNode = () => Math.floor(random.draw() * callerNodes);
  const outcomes = world.run(arrivals, findNode, loadMs + drainMs);
  return { arrivals, outcomes, counts: world.counts };
}

const isInTime = (arrival: Arrival, answeredAfterMs: number | undefined): boolean =>
  answeredAfterMs !== undefined && answeredAfterMs <= arrival.shape.objectiveMs;

// Guards against refusals by reports that reach the most important level or lose statements, and against a burst
// in which reports save no message.
test("in a burst reports save refusals by gateways, and none concerns the most important level", () => {
  const before = play(false);
  const after = play(true);
  expect(after.counts.entryRefusals).toBeGreaterThan(0);
  expect(after.counts.refusedLevels.has(0)).toBe(false);
  expect(after.counts.gatewayRefusals).toBeLessThan(before.counts.gatewayRefusals);
  expect(after.outcomes).toHaveLength(after.arrivals.length);
  const important = after.outcomes.filter(({ arrival }) => arrival.shape.level === 0);
  const inTime = important.filter((o) => isInTime(o.arrival, o.answeredAfterMs));
  expect(inTime).toHaveLength(important.length);
});

test("without reports nothing is refused at entry nodes", () => {
  expect(play(false).counts.entryRefusals).toBe(0);
});
