import { expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  adjustPair,
  findMovedPart,
  measureRead,
  recordResponse,
  type ResponseEstimate,
  type SharePair,
} from "../../src/gateway/gateway-share.js";
import { ShareFleet, type SimulatedSecond } from "./share-fleet.js";

const steady = (meanMs: number, at = 0): ResponseEstimate => ({ meanMs, slowMeanMs: meanMs, at });
const meanOf = (numbers: readonly number[]) =>
  numbers.reduce((sum, number) => sum + number, 0) / numbers.length;
const meanPart = (seconds: readonly SimulatedSecond[]) =>
  meanOf(seconds.map(({ preferredPart }) => preferredPart));
const spread = (seconds: readonly SimulatedSecond[]) => {
  const parts = seconds.map(({ preferredPart }) => preferredPart);
  return Math.max(...parts) - Math.min(...parts);
};

/** Entry nodes and the reads of each in a second: few and many reads, as of one group in a large fleet. */
const fleets = [
  [60, 10, 1],
  [20, 40, 2],
] as const;

test("the preferred gateway of two equal ones keeps nearly all reads", () => {
  for (const [nodes, rate, seed] of fleets) {
    const fleet = new ShareFleet(nodes, rate, seed);
    fleet.run(3);
    expect(meanPart(fleet.run(30))).toBeGreaterThan(0.95);
  }
});

// A gateway becomes slow, as on a link that others fill. All entry nodes see it at the same time: if they moved back
// and forth together, the reads would follow the slower of the two gateways.
test("a gateway that becomes slow keeps one read of ten, and gets the rest back without swings", () => {
  for (const [nodes, rate, seed] of fleets) {
    const fleet = new ShareFleet(nodes, rate, seed);
    fleet.run(10);
    fleet.preferred.delayMs = 200;
    fleet.run(8);
    const reduced = fleet.run(30);
    expect(meanPart(reduced)).toBeLessThan(0.15);
    expect(meanPart(reduced)).toBeGreaterThan(0.05);
    expect(spread(reduced)).toBeLessThan(0.12);
    fleet.preferred.delayMs = 15;
    const recovery = fleet.run(60);
    const largestFall = recovery.reduce(
      ({ highest, fall }, { preferredPart }) => ({
        highest: Math.max(highest, preferredPart),
        fall: Math.max(fall, highest - preferredPart),
      }),
      { highest: 0, fall: 0 },
    ).fall;
    expect(largestFall).toBeLessThan(0.12);
    expect(meanPart(recovery.slice(-10))).toBeGreaterThan(0.93);
  }
});

// The other gateway is faster, but a target has a slot or two there. Reads that leave the preferred gateway for less
// than their callers notice would wait for that slot.
test("reads do not wait at a gateway with a single slot for a small gain", () => {
  for (const [nodes, rate, seed] of fleets) {
    const fleet = new ShareFleet(nodes, rate, seed);
    fleet.preferred.delayMs = 60;
    fleet.other.perSecond = (nodes * rate) / 10;
    fleet.run(20);
    const settled = fleet.run(60);
    expect(meanOf(settled.map(({ meanMs }) => meanMs))).toBeLessThan(60);
    expect(Math.max(...settled.map(({ meanMs }) => meanMs))).toBeLessThan(75);
  }
});

test("the preferred gateway keeps nearly all reads while it is twice as slow, but fast", () => {
  for (const [nodes, rate, seed] of fleets) {
    const fleet = new ShareFleet(nodes, rate, seed);
    fleet.preferred.delayMs = 30;
    fleet.run(20);
    expect(meanPart(fleet.run(60))).toBeGreaterThan(0.95);
  }
});

// With nodes that send a read or two in a second, single slow reads must not decide.
test("nodes that send few reads move them as well", () => {
  const fleet = new ShareFleet(60, 1.4, 3);
  fleet.run(15);
  fleet.preferred.delayMs = 200;
  fleet.run(12);
  expect(meanPart(fleet.run(20))).toBeLessThan(0.2);
});

// The preferred gateway can answer half of the reads, and its queue grows with what is too much. The reads have to
// stay divided: moved to and fro as a whole they would fill the queues of both in turns.
test("a gateway with half of the capacity keeps what it can answer", () => {
  for (const [nodes, rate, seed] of fleets) {
    const fleet = new ShareFleet(nodes, rate, seed);
    fleet.run(10);
    fleet.preferred.perSecond = (nodes * rate) / 2;
    fleet.run(40);
    const settled = fleet.run(40);
    expect(meanPart(settled)).toBeGreaterThan(0.3);
    expect(meanPart(settled)).toBeLessThan(0.52);
    expect(spread(settled)).toBeLessThan(0.25);
    expect(Math.max(...settled.map(({ meanMs }) => meanMs))).toBeLessThan(60);
    expect(meanOf(settled.map(({ refusedPart }) => refusedPart))).toBeLessThan(0.001);
  }
});

// Neither gateway can answer all reads, but both together can. Swings of one queue after the other have to decay.
test("two gateways near their limits come to equal shares", () => {
  for (const [nodes, rate, seed] of fleets) {
    const fleet = new ShareFleet(nodes, rate, seed);
    fleet.run(10);
    fleet.preferred.perSecond = nodes * rate * 0.6;
    fleet.other.perSecond = nodes * rate * 0.6;
    fleet.run(40);
    const settled = fleet.run(40);
    expect(spread(settled)).toBeLessThan(0.25);
    expect(meanOf(settled.map(({ refusedPart }) => refusedPart))).toBeLessThan(0.001);
  }
});

// The other gateway answers within 2 ms, since it refuses everything. Reads that moved there would all be refused.
test("a gateway that refuses everything at once gets no reads of a slow one", () => {
  for (const [nodes, rate, seed] of fleets) {
    const fleet = new ShareFleet(nodes, rate, seed);
    fleet.other.isRefusing = true;
    fleet.preferred.delayMs = 200;
    fleet.run(3);
    expect(meanPart(fleet.run(30))).toBeGreaterThan(0.98);
  }
});

// The same when the reads are already there: they have to go back to the slow gateway that answers.
test("a gateway that begins to refuse everything loses the reads that had moved to it", () => {
  const fleet = new ShareFleet(20, 40, 4);
  fleet.run(10);
  fleet.preferred.delayMs = 200;
  fleet.run(15);
  fleet.other.isRefusing = true;
  fleet.run(10);
  expect(meanPart(fleet.run(20))).toBeGreaterThan(0.98);
  fleet.preferred.delayMs = 15;
  fleet.preferred.isRefusing = true;
  fleet.other.isRefusing = false;
  fleet.run(30);
  expect(meanPart(fleet.run(20))).toBeLessThan(0.2);
});

test("refused and unanswered reads count with the time they had, and a statement's own error not at all", () => {
  expect(measureRead({ type: "complete" }, 12, 800)).toBe(12);
  expect(measureRead({ type: "error", code: "busy" }, 1, 800)).toBe(800);
  expect(measureRead({ type: "error", code: "timeout" }, 900, 800)).toBe(900);
  expect(measureRead({ type: "silent" }, 950, 800)).toBe(950);
  expect(measureRead({ type: "error", code: "failed" }, 1, 800)).toBeUndefined();
  expect(measureRead({ type: "error", code: "denied" }, 1, 800)).toBeUndefined();
});

test("an old time is not used, and one slow read after a pause counts by half", () => {
  expect(recordResponse(steady(20), 100, 10_000).meanMs).toBe(60);
  expect(recordResponse(steady(20), 100, 61_000).meanMs).toBe(100);
  const reduced = { movedPart: 0.6, updatedAt: 0, pace: 1, direction: 1, turnedPart: 0.02 };
  expect(findMovedPart(reduced, steady(200), steady(20), 1000)).toBe(0.6);
  expect(findMovedPart(reduced, steady(200), steady(20), 61_000)).toBe(0.1);
  expect(adjustPair(reduced, steady(200), steady(20), 61_000).movedPart).toBe(0.02);
});

// Clocks that stand still or jump, and times of 0 or of minutes, must not lead to a share outside of the bounds.
test("whatever the times are, the share stays between the probe and nine of ten", () => {
  const read = fc.record({
    isPreferred: fc.boolean(),
    ms: fc.oneof(fc.constant(0), fc.double({ min: 0, max: 1e6, noNaN: true })),
    pauseMs: fc.oneof(fc.constant(0), fc.constant(-50), fc.nat(100_000)),
  });
  fc.assert(
    fc.property(fc.array(read, { maxLength: 200 }), (reads) => {
      let now = 0;
      let pair: SharePair | undefined;
      let [preferred, other]: (ResponseEstimate | undefined)[] = [undefined, undefined];
      for (const { isPreferred, ms, pauseMs } of reads) {
        now += pauseMs;
        if (isPreferred) preferred = recordResponse(preferred, ms, now);
        else other = recordResponse(other, ms, now);
        pair = adjustPair(pair, preferred, other, now);
        expect(pair.movedPart).toBeGreaterThanOrEqual(0.02);
        expect(pair.movedPart).toBeLessThanOrEqual(0.9);
        const part = findMovedPart(pair, preferred, other, now);
        expect(part).toBeGreaterThan(0);
        expect(part).toBeLessThanOrEqual(0.9);
      }
    }),
    { seed: 73 },
  );
});
