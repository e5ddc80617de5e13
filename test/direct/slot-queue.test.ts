import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import { SlotQueue } from "../../src/capacity/index.js";
import { request } from "../admission/builders.js";

const tickMs = 50;

beforeEach(() => {
  jest.useFakeTimers();
});
afterEach(() => {
  jest.useRealTimers();
});

// Guards against a refusal that comes with the next tick, after the caller has given up: a commit that was not run
// would then be in doubt.
test("the wait for a slot of an open transaction ends at its deadline", async () => {
  const clock = { now: () => performance.now(), sleep: () => Promise.resolve() };
  const queue = new SlotQueue(clock);
  queue.resize("p", "primary", 1);
  const { signal } = new AbortController();
  const first = await queue.acquire(request("t"), signal);
  if (first.type !== "started") throw new Error("no slot");
  first.slot.pause();
  await queue.acquire(request("x"), signal);
  jest.advanceTimersByTime(tickMs - (performance.now() % tickMs));
  const deadlineAt = clock.now() + tickMs + 5;
  const ends: number[] = [];
  const waiting = first.slot.resume(deadlineAt, signal).then((result) => {
    ends.push(clock.now());
    return result;
  });
  for (let ms = 0; ms < 3 * tickMs; ms += 1) await jest.advanceTimersByTimeAsync(1);
  expect(await waiting).toMatchObject({ type: "refused", reason: "deadline" });
  expect(ends[0]).toBeGreaterThanOrEqual(deadlineAt);
  expect(ends[0]).toBeLessThanOrEqual(deadlineAt + 2);
  expect(first.slot.isPaused).toBe(true);
  queue.dispose();
});
