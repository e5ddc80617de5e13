import { setTimeout as sleep } from "node:timers/promises";
import { expect, test } from "@jest/globals";
import { LoopDelayMonitor, MachineLoadMonitor } from "../../standin/soak/nodes/index.js";

const blockedMs = 200;

// Callers that are late themselves count answers as late which the nodes gave in time.
test("a process that could not run shows in its delays", async () => {
  const monitor = new LoopDelayMonitor();
  await sleep(50);
  const until = performance.now() + blockedMs;
  while (performance.now() < until);
  await sleep(50);
  expect(monitor.measure().maxMs).toBeGreaterThanOrEqual(blockedMs / 2);
});

test("the shares of the machine's time lie between none and all of it", () => {
  const { busyShare, stolenShare } = new MachineLoadMonitor().measure();
  expect(busyShare).toBeGreaterThanOrEqual(0);
  expect(busyShare + stolenShare).toBeLessThanOrEqual(1);
});
