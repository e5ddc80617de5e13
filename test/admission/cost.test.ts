import { expect, test } from "@jest/globals";
import { AdmissionHarness } from "./builders.js";

const waiting = 1000;
const teams = 76;
const levels = 3;
const runs = 25;

function fillQueue(withLevels: boolean): AdmissionHarness {
  const harness = new AdmissionHarness({}, 4);
  for (let i = 0; i < waiting; i++) {
    const objectiveAt = [150, 1000, 1e6][Math.floor(i / teams) % 3] ?? 0;
    const level = withLevels ? { level: i % levels, objectiveAt } : {};
    const priority = i % levels === 0 ? "critical" : "normal";
    harness.arrive(`q${i}`, { team: `team${i % teams}`, priority, ...level });
  }
  harness.at = 500;
  return harness;
}

function timeTick(harness: AdmissionHarness): number {
  const startedAt = performance.now();
  harness.apply({ type: "tick", at: harness.at });
  return performance.now() - startedAt;
}

// Guards against a tick that estimates the wait of each request of a level although all are far within their limits.
test("with levels a tick takes less than twice the time, while all limits are far", () => {
  const [byClass, byLevel] = [fillQueue(false), fillQueue(true)];
  const times = Array.from({ length: runs }, () => [timeTick(byClass), timeTick(byLevel)] as const);
  const classMs = Math.min(...times.map(([ms]) => ms));
  const levelMs = Math.min(...times.map(([, ms]) => ms));
  expect(levelMs).toBeLessThan(2 * classMs);
});
