import { expect, test } from "@jest/globals";
import type { Mark, TargetView } from "../../src/model/index.js";
import { firstTerm } from "../../src/model/index.js";
import {
  emptyHistory,
  findMaxAgeMs,
  observePrimary,
  observeReplica,
  routeRead,
  type ReadConstraints,
  type ReadTarget,
} from "../../src/policy/index.js";

const one = { round: 1, vm: "a" };
const two = { round: 2, vm: "b" };
const lineage = [
  { term: firstTerm, start: 0 },
  { term: one, start: 0 },
];
const at = (offset: number, term = one): Mark => ({ term, offset });
const view = (target: string, offset: number, time: number): TargetView => ({
  status: { target, role: "replica", mark: at(offset), lineage, fencedAt: one },
  askedAt: time,
  answeredAt: time,
  missedProbes: 0,
});
const target = (name: string, offset: number, rest: Partial<ReadTarget> = {}): ReadTarget => ({
  name,
  role: "replica",
  state: "serving",
  status: { mark: at(offset), lineage },
  freeSlots: 1,
  queueMs: 0,
  ...rest,
});
const primary = target("p", 10, { role: "primary" });
const read: ReadConstraints = { route: { type: "replica" }, timeLeftMs: 1000, maxReplicaWaitMs: 0 };
const history = [view("p", 5, 100), view("p", 8, 200), view("p", 10, 300)].reduce(
  observePrimary,
  emptyHistory,
);
const route = (constraints: Partial<ReadConstraints>, ...targets: readonly ReadTarget[]) =>
  routeRead({ ...read, ...constraints }, { now: 310, targets: [primary, ...targets], history });

test("replicas that hold the mark are ordered by free slots", () => {
  const targets = [target("r1", 9), target("r2", 9, { freeSlots: 2 }), target("r3", 7)];
  expect(route({ mark: at(9) }, ...targets)).toEqual({
    type: "replica",
    targets: ["r2", "r1"],
    reason: "holdsMark",
  });
});

test("leaving and unreachable targets get no reads", () => {
  const gone = [target("r1", 9, { state: "leaving" }), target("r2", 9, { state: "unreachable" })];
  expect(route({}, ...gone)).toMatchObject({ type: "primary", reason: "noReplicaServing" });
});

// A caller writes, then reads under a rule that accepts data that is a second old.
// The replica's data is recent enough but lacks the caller's write.
// If the age alone decided, the caller would not see its own write.
test("a stale read sees the session's own writes", () => {
  const stale = { type: "stale", maxAgeMs: 1000 } as const;
  expect(route({ route: stale }, target("r1", 8))).toMatchObject({ type: "replica" });
  expect(route({ route: stale, mark: at(9) }, target("r1", 8))).toMatchObject({ type: "primary" });
  const strict = { type: "stale", maxAgeMs: 50 } as const;
  expect(route({ route: strict }, target("r1", 8))).toMatchObject({ reason: "replicasTooOld" });
});

test("age counts from when the primary was last observed to hold no more", () => {
  expect(findMaxAgeMs(history, at(9), 310)).toBe(110);
  expect(findMaxAgeMs(history, at(10), 310)).toBe(10);
  expect(findMaxAgeMs(history, at(4), 310)).toBeUndefined();
  expect(findMaxAgeMs(history, at(9, two), 310)).toBeUndefined();
});

// A replica lags five seconds behind a primary that is observed a hundred times a second.
// If only the newest observations were kept, the age of its data would be unknown and stale reads would
// avoid it. Older observations are thinned out instead, so that the age is known and never too small.
test("the age of a replica with a long lag is known, and an upper bound", () => {
  let long = emptyHistory;
  for (let i = 1; i <= 9000; i++) long = observePrimary(long, view("p", i, 10 * i));
  expect(long.observations.length).toBeLessThanOrEqual(512);
  for (const held of [2000, 5000, 8500, 8900, 8999]) {
    const age = findMaxAgeMs(long, at(held), 90_000) ?? 0;
    expect(age).toBeGreaterThanOrEqual(90_000 - 10 * held);
    expect(age).toBeLessThan(1.1 * (90_000 - 10 * held) + 10);
  }
});

// A session saw a write that none of the targets fenced in an election held, so that the new primary's
// term begins before it. No log of the new term will ever hold the mark, and a wait would never end.
// The read runs on the primary, whose owner decides what the caller is told.
test("a read with a cut mark runs on the primary", () => {
  const branched = { mark: at(9, two), lineage: [...lineage, { term: two, start: 6 }] };
  const cut = target("r1", 9, { status: branched });
  expect(route({ mark: at(8), maxReplicaWaitMs: 500 }, cut)).toEqual({
    type: "primary",
    target: "p",
    reason: "markWasCut",
  });
});

test("a read waits for a replica that catches up before the primary has a free slot", () => {
  const reports = [view("r1", 5, 130), view("r1", 8, 230)];
  const progress = reports.reduce(
    (p, v) => observeReplica(p, v, history),
    observeReplica(undefined, view("r1", 1, 90), history),
  );
  expect(progress.lagMs).toBe(30);
  const behind = target("r1", 8, { progress });
  expect(route({ mark: at(10) }, behind)).toMatchObject({ reason: "replicasBehind" });
  expect(route({ mark: at(10), maxReplicaWaitMs: 25 }, behind)).toEqual({
    type: "wait",
    target: "r1",
    waitMs: 20,
  });
  const busyPrimary = { ...primary, queueMs: 40 };
  const snapshot = { now: 310, targets: [busyPrimary, behind], history };
  expect(routeRead({ ...read, mark: at(10) }, snapshot)).toMatchObject({ type: "wait" });
  const urgent = { ...read, mark: at(10), timeLeftMs: 15 };
  expect(routeRead(urgent, snapshot)).toMatchObject({ type: "primary" });
});

test("without a primary a read that needs one has no route", () => {
  const snapshot = { now: 310, targets: [target("r1", 8)], history };
  expect(routeRead({ ...read, mark: at(9) }, snapshot)).toEqual({
    type: "nowhere",
    reason: "noPrimary",
  });
});
