import { expect, test } from "@jest/globals";
import { ResponseTimes } from "../../src/system/index.js";

const usualMs = 200;

/** Response times on a clock that the test sets. */
function createTimes() {
  const clock = { now: 0 };
  return { clock, times: new ResponseTimes(() => clock.now) };
}

test("a timeout is twice the longest recent response time, from the usual one to four times that", () => {
  const { clock, times } = createTimes();
  expect(times.computeTimeoutMs(usualMs)).toBe(usualMs);
  times.record(20);
  expect(times.computeTimeoutMs(usualMs)).toBe(usualMs);
  times.record(150);
  times.record(30);
  expect(times.computeTimeoutMs(usualMs)).toBe(300);
  times.record(5000);
  expect(times.computeTimeoutMs(usualMs)).toBe(800);
  clock.now = 20_000;
  expect(times.computeTimeoutMs(usualMs)).toBe(usualMs);
});

// Peers that answer just after the timeout would be given up for ever if late answers did not count.
test("an answer after the timeout lengthens the next timeouts and is given to its handler", async () => {
  const times = new ResponseTimes(() => performance.now());
  const late: string[] = [];
  const answer = new Promise<string>((resolve) => setTimeout(() => resolve("here"), 100));
  expect(await times.awaitAnswer(answer, 40, (value) => late.push(value))).toBeUndefined();
  await answer;
  expect(late).toEqual(["here"]);
  expect(times.computeTimeoutMs(40)).toBe(160);
});

test("a peer that never answers lengthens no timeout", async () => {
  const times = new ResponseTimes(() => performance.now());
  expect(await times.awaitAnswer(new Promise<string>(() => undefined), 20)).toBeUndefined();
  await expect(times.awaitAnswer(Promise.reject(new Error("gone")), 20)).rejects.toThrow("gone");
  expect(times.computeTimeoutMs(20)).toBe(20);
});
