import { expect, test } from "@jest/globals";
import { chooseCandidates, type CandidateTarget } from "../../src/direct/candidates.js";
import { isIdleLimitReached } from "../../src/direct/idle.js";
import { computeShare, type ShareRule } from "../../src/direct/share.js";
import {
  noteAnswer,
  noteLagging,
  noteFailure,
  noteSaturated,
  healthyTarget,
} from "../../src/direct/health.js";
import { planLinkSetup } from "../../src/direct/tracked-link.js";
import { classifyResult } from "../../src/direct/result-class.js";
import type { CommandResult, ErrorCode } from "../../src/statement/index.js";

const view = (name: string, change: Partial<CandidateTarget> = {}): CandidateTarget => ({
  name,
  isLeaving: false,
  isLocal: false,
  health: healthyTarget,
  running: 0,
  hasIdle: true,
  slots: 2,
  occupiedSlots: 0,
  ...change,
});

const serving = { type: "serving", target: "p" } as const;
const read = {
  needsPrimary: false,
  hasRequiredMark: true,
  isBackground: false,
  excluded: new Set<string>(),
};
const choose = (views: readonly CandidateTarget[], demand = read) =>
  chooseCandidates(demand, serving, views, 100, () => 0.5);

test("reads go to the least busy replica, the near one first", () => {
  expect(choose([view("p"), view("a"), view("b", { isLocal: true })])).toMatchObject({
    names: ["b"],
  });
  const busyNear = view("b", { isLocal: true, running: 1 });
  expect(choose([view("p"), view("a"), busyNear])).toMatchObject({ names: ["a"] });
  const full = [view("a", { running: 2 }), view("b", { running: 2 })];
  expect(choose([view("p"), ...full])).toMatchObject({ names: ["a", "b"] });
});

// A connection serves the team that it was opened for. Where a target has a free one for the statement's
// team it is preferred to as busy a one that has none; a less busy one is preferred all the same.
test("reads go where a connection of their team is free, unless that target is busier", () => {
  const unopened = view("a", { hasIdle: false, isLocal: true });
  expect(choose([view("p"), unopened, view("b")])).toMatchObject({ names: ["b"] });
  const busy = view("b", { running: 1 });
  expect(choose([view("p"), unopened, busy])).toMatchObject({ names: ["a"] });
});

// A read comes where the primary is in the same data centre and no replica is. It goes there while the
// primary does nothing of this proxy's and has turned nobody away; background work never does, and
// writes find the primary's other slots free.
test("a read goes to an idle primary nearby, unless more important work may need it", () => {
  const near = view("p", { isLocal: true });
  const replicas = [view("a"), view("b")];
  expect(choose([near, ...replicas])).toMatchObject({ role: "primary", names: ["p"] });
  expect(choose([near, ...replicas], { ...read, isBackground: true })).toMatchObject({
    role: "replica",
  });
  expect(choose([{ ...near, running: 1 }, ...replicas])).toMatchObject({ role: "replica" });
  const full = { ...near, health: noteSaturated(healthyTarget, 90) };
  expect(choose([full, ...replicas])).toMatchObject({ role: "replica" });
  const failing = { ...near, health: noteFailure(healthyTarget, 90) };
  expect(choose([failing, ...replicas])).toMatchObject({ role: "replica" });
  const idleNear = view("a", { isLocal: true });
  expect(choose([near, idleNear])).toMatchObject({ names: ["a"] });
});

test("leaving, failing, lagging and excluded replicas are passed over for the primary", () => {
  const unfit = [
    view("a", { isLeaving: true }),
    view("b", { health: noteFailure(healthyTarget, 90) }),
    view("c", { health: noteLagging(healthyTarget, 90) }),
    view("d"),
  ];
  const demand = { ...read, excluded: new Set(["d"]) };
  expect(choose([view("p"), ...unfit], demand)).toMatchObject({ role: "primary", names: ["p"] });
});

test("without a primary a statement that needs one waits or is refused, a read goes on", () => {
  const write = { ...read, needsPrimary: true };
  const changing = { type: "changing", readyInMs: 300, reason: "made anew" } as const;
  const draw = () => 0.5;
  expect(chooseCandidates(write, changing, [view("a")], 100, draw)).toEqual({
    type: "wait",
    readyInMs: 300,
    reason: "made anew",
  });
  expect(chooseCandidates(read, changing, [view("a")], 100, draw)).toMatchObject({ names: ["a"] });
  const unknown = { type: "unknown", reason: "x" } as const;
  expect(chooseCandidates(write, unknown, [view("a")], 100, draw).type).toBe("nowhere");
  const silent = view("p", { health: noteFailure(healthyTarget, 90) });
  expect(choose([silent], write)).toMatchObject({ type: "wait", readyInMs: 40 });
});

// A target goes dark, and its entry stands for seconds. Statements that are sent to it wait in vain for a
// connection. One at a time tries it; the others go elsewhere, or wait a little where there is no other.
test("a target that fails is tried by one statement at a time", () => {
  const failing = noteFailure(healthyTarget, 0);
  const dark = view("a", { isLocal: true, health: failing });
  expect(choose([view("p"), dark, view("b")])).toMatchObject({ names: ["a"] });
  expect(choose([view("p"), { ...dark, occupiedSlots: 1 }, view("b")])).toMatchObject({
    names: ["b"],
  });
  const write = { ...read, needsPrimary: true };
  const once = view("p", { health: failing, occupiedSlots: 1 });
  expect(choose([once], write)).toMatchObject({ names: ["p"] });
  const twice = { ...once, health: { ...failing, failures: 2 } };
  expect(choose([twice], write)).toMatchObject({ type: "wait", readyInMs: 50 });
  expect(choose([{ ...twice, occupiedSlots: 0 }], write)).toMatchObject({ names: ["p"] });
});

test("failures of one moment count once, pauses grow, an answer ends them", () => {
  const first = noteFailure(healthyTarget, 0);
  expect(noteFailure(first, 10)).toEqual(first);
  expect(noteFailure(first, 60).avoidUntil).toBe(160);
  expect(noteAnswer(first).avoidUntil).toBe(0);
});

test("a connection is cleared only of what the session lacks", () => {
  const has = { values: new Map([["a", "1"]]), prepared: new Set<string>() };
  const needs = (values: readonly (readonly [string, string])[]) => ({
    values: new Map(values),
    prepared: undefined,
  });
  expect(planLinkSetup(has, needs([["a", "1"]]))).toEqual([]);
  expect(planLinkSetup(has, needs([["a", "2"]]))).toEqual([{ type: "set", name: "a", value: "2" }]);
  expect(planLinkSetup(has, needs([["b", "2"]]))).toEqual([
    { type: "reset" },
    { type: "set", name: "b", value: "2" },
  ]);
  expect(planLinkSetup(has, needs([]))).toEqual([{ type: "reset" }]);
});

const failed = (code: ErrorCode): CommandResult => ({
  type: "answered",
  reply: { rows: [], end: { type: "error", code, text: "" }, state: "idle" },
});

test("a write that may have run is never sent again; what has not run is", () => {
  const broken = { type: "broken", sent: true, reason: "x" } as const;
  expect(classifyResult(broken, "write").type).toBe("inDoubt");
  expect(classifyResult(broken, "read").type).toBe("again");
  expect(classifyResult({ ...broken, sent: false }, "write").type).toBe("again");
  for (const code of ["busy", "lagging", "readOnly", "wrongTarget"] as const) {
    expect(classifyResult(failed(code), "write")).toMatchObject({ type: "again", isNotRun: true });
  }
  for (const code of ["failed", "timeout", "inDoubt"] as const) {
    expect(classifyResult(failed(code), "write").type).toBe("done");
    expect(classifyResult(failed(code), "read").type).toBe("again");
  }
});

// All machines lose power and come back at once. The targets still count the connections of the
// processes before, so that those and the new ones have to fit together.
test("the shares of all proxies fit twice into a target's connections", () => {
  for (let proxies = 1; proxies < 12; proxies += 1) {
    const { base, max: most } = computeShare(16, shared, { type: "equal", proxies });
    expect(base === 1 || base * proxies * 2 <= 15).toBe(true);
    expect(most === 1 || most * proxies <= 15).toBe(true);
  }
  expect(computeShare(16, shared, { type: "equal", proxies: 7 })).toMatchObject({
    base: 1,
    most: 2,
  });
  expect(computeShare(55, shared, { type: "equal", proxies: 8 })).toMatchObject({
    base: 3,
    most: 4,
  });
});

const shared = { slots: 3, announcedRole: "primary" } as const;

// A loss of power restarts all gateways, and a target counts their old connections for three seconds more.
// Had the new ones no room beside them, they would be refused every connection meanwhile.
test.each([
  [37, 6],
  [38, 8],
  [58, 6],
  [16, 6],
])("gateways' base of %i connections, held by %i, fits twice", (connections, proxies) => {
  const count = (isFirst: boolean) => {
    const holding: ShareRule = { type: "chosen", proxies, isFirst };
    return computeShare(connections, shared, holding);
  };
  const base = count(true).base + (proxies - 1) * count(false).base;
  expect(2 * base).toBeLessThanOrEqual(connections);
  const most = count(true).max + (proxies - 1) * count(false).max;
  expect(most).toBeLessThan(connections);
  expect(count(true).base).toBeGreaterThanOrEqual(count(false).base);
});

// Reads need a slot each and no more: what is sent to a replica beyond them comes back as busy. A primary's
// transactions rest between statements and hold connections without a slot.
test("the first gateway has more under way at a primary than at a replica", () => {
  const holding: ShareRule = { type: "chosen", proxies: 6, isFirst: true };
  expect(computeShare(37, shared, holding).slots).toBe(12);
  expect(computeShare(37, { ...shared, announcedRole: "replica" }, holding).slots).toBe(6);
});

test("a proxy that holds nothing opens one connection where it has to", () => {
  expect(computeShare(185, shared, { type: "none" })).toEqual({ base: 1, most: 1, slots: 1 });
});

test("a transaction may rest to its limit, and for less while others wait", () => {
  expect(isIdleLimitReached(2999, 3000, false)).toBe(false);
  expect(isIdleLimitReached(3000, 3000, false)).toBe(true);
  expect(isIdleLimitReached(399, 3000, true)).toBe(false);
  expect(isIdleLimitReached(400, 3000, true)).toBe(true);
  // An operator's limit below that holds.
  expect(isIdleLimitReached(100, 100, false)).toBe(true);
});
