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

// A configuration passes a reader (0.7 s), a listed node (0.4 s) and one that follows it, each with a tenth
// of jitter, and must be in force on time.
test.each([3000, 5000, 6000])(
  "a configuration reaches all nodes in seven tenths of %i ms",
  (applyMs) => {
    const question = { configurationApplyMs: applyMs };
    const ways = [
      computePollDelayMs({ ...listed, ...question, isFollowing: false }),
      computePollDelayMs({ ...listed, ...question }),
      computePollDelayMs({ ...unlisted, ...question }),
    ];
    expect(1.1 * ways.reduce((sum, ms) => sum + ms, 0)).toBeLessThan(0.7 * applyMs);
  },
);

// Two hundred nodes that are not listed find nobody to follow. Their questions must not be what the store is
// busy with.
test("a node that is not listed asks seldom, and often only when it started without the store", () => {
  expect(computePollDelayMs({ ...unlisted, isFollowing: false })).toBe(500);
  expect(computePollDelayMs({ ...unlisted, isFollowing: false, isStoreUnavailable: true })).toBe(
    500,
  );
  const blind = { ...unlisted, isFollowing: false, isStoreUnavailable: true, isInitialised: false };
  expect(computePollDelayMs(blind)).toBe(150);
});

test("all looks together take no more than a quarter of the store's reads", () => {
  const many = { ...listed, isFollowing: false, proxies: 400, storeReadsPerSecond: 400 };
  expect(400 / (computePollDelayMs(many) / 1000)).toBeLessThanOrEqual(100);
  expect(computePollDelayMs({ ...listed, isFollowing: false })).toBe(700);
});
