import { expect, test } from "@jest/globals";
import {
  estimateReadyMs,
  holdsMark,
  isStalled,
  recordReport,
  type ReplicaRecord,
} from "../../src/direct/positions.js";
import type { Mark } from "../../src/model/index.js";
import { emptyHistory, observePrimary, type PositionHistory } from "../../src/policy/index.js";

const makeMark = (offset: number, round = 1): Mark => ({ term: { round, vm: "p" }, offset });

/** A primary whose log was observed to hold these offsets at these times. */
const observe = (
  observations: readonly (readonly [offset: number, at: number])[],
  round = 1,
): PositionHistory =>
  observations.reduce(
    (history, [offset, askedAt]) =>
      observePrimary(history, { status: { mark: makeMark(offset, round) }, askedAt }),
    emptyHistory,
  );

/** Applies reports of a replica that were answered 1 ms after they were asked for. */
const report = (
  history: PositionHistory,
  reports: readonly (readonly [offset: number, at: number])[],
  round = 1,
): ReplicaRecord | undefined =>
  reports.reduce<ReplicaRecord | undefined>(
    (record, [offset, at]) =>
      recordReport(record, { mark: makeMark(offset, round), askedAt: at - 1, at }, history),
    undefined,
  );

/** A log that grows by 1 each 10 ms from 0 on. */
const growing = observe(Array.from({ length: 200 }, (_, i) => [i, i * 10] as const));

test("a position that the replica has reported is there at once", () => {
  const record = report(growing, [[50, 600]]);
  expect(holdsMark(record, growing, makeMark(50))).toBe(true);
  expect(estimateReadyMs(record, growing, makeMark(50), 601)).toBe(0);
  expect(estimateReadyMs(record, growing, makeMark(30), 5000)).toBe(0);
});

// Guards against reads that wait, or use the primary, for a replica of which nothing is known.
test("nothing is estimated without a report, without the primary's position, or from an old report", () => {
  const record = report(growing, [[50, 600]]);
  expect(estimateReadyMs(undefined, growing, makeMark(60), 601)).toBeUndefined();
  expect(estimateReadyMs(record, emptyHistory, makeMark(50), 601)).toBeUndefined();
  expect(estimateReadyMs(record, growing, makeMark(70), 1600)).toBeDefined();
  expect(estimateReadyMs(record, growing, makeMark(70), 1601)).toBeUndefined();
});

test("the time of a missing position follows from the delay of the positions before", () => {
  // The replica was asked at 599 ms and lacked what the primary held at 460 ms.
  const record = report(growing, [
    [44, 590],
    [45, 600],
  ]);
  expect(record?.delayMs).toBe(139);
  const readyMs = estimateReadyMs(record, growing, makeMark(50), 600);
  expect(readyMs).toBe(39);
});

// Guards against a delay of the length of a quiet time: the replica's report of an old position says only that the
// position arrived at some time in it.
test("a report after a quiet time does not make the delay appear long", () => {
  const quiet = observe([
    [1, 0],
    [2, 5000],
    [3, 5100],
  ]);
  const caughtUp = report(quiet, [
    [1, 3000],
    [3, 5200],
  ]);
  expect(caughtUp?.delayMs).toBeUndefined();
  expect(estimateReadyMs(caughtUp, quiet, makeMark(4), 5200)).toBeUndefined();
});

test("a delay that has shrunk is noticed with the next new position", () => {
  const record = report(growing, [
    [10, 600],
    [20, 700],
    [95, 1000],
  ]);
  expect(record?.delayMs).toBeLessThanOrEqual(50);
});

// Guards against a refused read that is sent to the same replica again at once, since the estimate did not change.
test("a replica that lacks a position at the expected time gets a longer delay", () => {
  const before = report(growing, [
    [44, 590],
    [45, 600],
  ]);
  const after = recordReport(before, { mark: makeMark(45), askedAt: 899, at: 900 }, growing);
  expect(after.delayMs).toBeGreaterThan(400);
  // It has received nothing for 300 ms, and is not expected to for as long again.
  expect(estimateReadyMs(after, growing, makeMark(46), 900)).toBe(300);
});

// Guards against reads that go on trying a replica which receives nothing.
test("a replica without progress for 1,000 ms is stalled until it reports a newer position", () => {
  const almost = report(growing, [
    [45, 600],
    [45, 1599],
  ]);
  expect(almost !== undefined && isStalled(almost)).toBe(false);
  const stalled = report(growing, [
    [45, 600],
    [45, 1600],
  ]);
  expect(stalled !== undefined && isStalled(stalled)).toBe(true);
  expect(estimateReadyMs(stalled, growing, makeMark(46), 1600)).toBe(Infinity);
  expect(estimateReadyMs(stalled, growing, makeMark(45), 1600)).toBe(0);
  const recovered = recordReport(stalled, { mark: makeMark(46), askedAt: 1699, at: 1700 }, growing);
  expect(isStalled(recovered)).toBe(false);
});

// Guards against a replica that counts as stalled because nothing is written.
test("a replica is not stalled while the primary's log does not grow", () => {
  const resting = observe([
    [7, 0],
    [7, 9000],
    [8, 9500],
  ]);
  const record = report(resting, [
    [7, 100],
    [7, 9600],
  ]);
  expect(record !== undefined && isStalled(record)).toBe(false);
  expect(record?.unchangedMs).toBe(100);
});

// Guards against positions of a replaced primary's term that are compared with those of the new one: the same
// offset may stand for other records there.
test("positions of another term than the primary's say nothing", () => {
  const history = observe([[10, 1000]], 2);
  const old = report(history, [[50, 1100]]);
  expect(estimateReadyMs(old, history, makeMark(10, 2), 1100)).toBeUndefined();
  expect(holdsMark(old, history, makeMark(10, 1))).toBe(false);
  const current = recordReport(old, { mark: makeMark(10, 2), askedAt: 1199, at: 1200 }, history);
  expect(holdsMark(current, history, makeMark(10, 2))).toBe(true);
});

// Guards against an answer that was overtaken by a later one.
test("a late report of an older position changes nothing, a new one of a shorter log replaces the record", () => {
  const record = report(growing, [[50, 600]]);
  expect(recordReport(record, { mark: makeMark(40), askedAt: 590, at: 610 }, growing)).toBe(record);
  const shorter = recordReport(record, { mark: makeMark(40), askedAt: 605, at: 610 }, growing);
  expect(holdsMark(shorter, growing, makeMark(50))).toBe(false);
});

test("a position that the primary was not observed to hold counts from when it was required", () => {
  const record = report(growing, [
    [44, 590],
    [45, 600],
  ]);
  const delayMs = record?.delayMs ?? 0;
  expect(estimateReadyMs(record, growing, makeMark(900), 640, 620)).toBeCloseTo(delayMs - 20, 5);
});
