import { expect, test } from "@jest/globals";
import { computePollDelayMs, type PollConditions } from "../../src/node/poll-delay.js";

const listed: PollConditions = {
  isUnlisted: false,
  hasPeers: true,
  isInitialised: true,
  isConfirmed: true,
  isFollowing: true,
  isAnswered: true,
  isStoreUnavailable: false,
  proxyCount: 20,
  storeReadsPerSecond: 6000,
  configurationApplyMs: 5000,
};
const unlisted: PollConditions = { ...listed, isUnlisted: true, isConfirmed: false };

// A configuration reaches a reader (0.7 s), then a listed node (0.4 s), then an unlisted one, each with a tenth
// of jitter, and must be applied in time.
test.each([3000, 5000, 6000])(
  "a configuration reaches all nodes in seven tenths of %i ms",
  (applyMs) => {
    const limit = { configurationApplyMs: applyMs };
    const delays = [
      computePollDelayMs({ ...listed, ...limit, isFollowing: false }),
      computePollDelayMs({ ...listed, ...limit }),
      computePollDelayMs({ ...unlisted, ...limit }),
    ];
    expect(1.1 * delays.reduce((sum, ms) => sum + ms, 0)).toBeLessThan(0.7 * applyMs);
  },
);

// Two hundred unlisted nodes find no proxy to poll through. Their requests must not overload the store.
test("an unlisted node polls rarely, and often only when it started during an outage of the store", () => {
  expect(computePollDelayMs({ ...unlisted, isFollowing: false })).toBe(500);
  expect(computePollDelayMs({ ...unlisted, isFollowing: false, isStoreUnavailable: true })).toBe(
    500,
  );
  const startedDuringOutage = {
    ...unlisted,
    isFollowing: false,
    isStoreUnavailable: true,
    isInitialised: false,
  };
  expect(computePollDelayMs(startedDuringOutage)).toBe(150);
});

test("all polls together use at most a quarter of the store's read capacity", () => {
  const many = { ...listed, isFollowing: false, proxyCount: 400, storeReadsPerSecond: 400 };
  expect(400 / (computePollDelayMs(many) / 1000)).toBeLessThanOrEqual(100);
  expect(computePollDelayMs({ ...listed, isFollowing: false })).toBe(700);
});
