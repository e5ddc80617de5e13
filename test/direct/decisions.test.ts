import { expect, test } from "@jest/globals";
import {
  chooseCandidates,
  needsPrimarySlot,
  type CandidateTarget,
} from "../../src/direct/candidates.js";
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

test("a read goes to the least loaded replica, preferring the local data centre", () => {
  expect(choose([view("p"), view("a"), view("b", { isLocal: true })])).toMatchObject({
    names: ["b"],
  });
  const busyNear = view("b", { isLocal: true, running: 1 });
  expect(choose([view("p"), view("a"), busyNear])).toMatchObject({ names: ["a"] });
  const full = [view("a", { running: 2 }), view("b", { running: 2 })];
  expect(choose([view("p"), ...full])).toMatchObject({ names: ["a", "b"] });
});

// A connection serves only the team that it was opened for. Among equally loaded targets one with an idle
// connection for the statement's team is preferred, but a less loaded target comes first.
test("a read prefers a target with an idle connection of its team unless that target is busier", () => {
  const unopened = view("a", { hasIdle: false, isLocal: true });
  expect(choose([view("p"), unopened, view("b")])).toMatchObject({ names: ["b"] });
  const busy = view("b", { running: 1 });
  expect(choose([view("p"), unopened, busy])).toMatchObject({ names: ["a"] });
});

// The primary is in the proxy's data centre and no replica is. Reads use the primary only while it runs
// nothing of this proxy and is not saturated, and background reads never do, so that writes find a slot.
test("a read goes to an idle local primary unless more important statements may need it", () => {
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

test("a read goes to the primary if all replicas are leaving, failing, lagging or excluded", () => {
  const unfit = [
    view("a", { isLeaving: true }),
    view("b", { health: noteFailure(healthyTarget, 90) }),
    view("c", { health: noteLagging(healthyTarget, 90) }),
    view("d"),
  ];
  const demand = { ...read, excluded: new Set(["d"]) };
  expect(choose([view("p"), ...unfit], demand)).toMatchObject({ role: "primary", names: ["p"] });
});

test("without a primary a write waits or is refused, and a read goes to a replica", () => {
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

// Replicas that lack a read's mark were asked again without a pause while the primary could not be used.
test("a read without a primary waits while all replicas lack its mark", () => {
  const changing = { type: "changing", readyInMs: 300, reason: "made anew" } as const;
  const lagging = (name: string, since: number) =>
    view(name, { health: noteLagging(healthyTarget, since) });
  const decide = (views: readonly CandidateTarget[], demand = read) =>
    chooseCandidates(demand, changing, views, 100, () => 0.5);
  expect(decide([lagging("a", 90), lagging("b", 60)])).toMatchObject({
    type: "wait",
    readyInMs: 40,
  });
  expect(decide([lagging("a", 90), lagging("b", 10)])).toMatchObject({ names: ["b"] });
  expect(decide([lagging("a", 90)], { ...read, hasRequiredMark: false })).toMatchObject({
    names: ["a"],
  });
});

// Without regions a failing replica is asked at once. Waiting for a lagging one instead would delay reads by the lag
// while the failing one may have recovered.
test("without regions a read without a primary asks a failing replica rather than wait for a lagging one", () => {
  const views = [
    view("a", { health: noteLagging(healthyTarget, 90) }),
    view("b", { health: noteFailure(healthyTarget, 90) }),
  ];
  const unknown = { type: "unknown", reason: "no primary" } as const;
  expect(chooseCandidates(read, unknown, views, 100, () => 0.5)).toMatchObject({ names: ["b"] });
});

// An unreachable target stays listed for seconds, and statements sent to it wait in vain for a connection.
// Only one statement at a time may probe it. Others go elsewhere, or wait if there is no other target.
test("a failing target is probed by one statement at a time", () => {
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

test("failures during a pause count once, pauses grow, and an answer ends the pause", () => {
  const first = noteFailure(healthyTarget, 0);
  expect(noteFailure(first, 10)).toEqual(first);
  expect(noteFailure(first, 60).avoidUntil).toBe(160);
  expect(noteAnswer(first).avoidUntil).toBe(0);
});

test("a connection is reset only if it has a value that the session does not have", () => {
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

test("a write that may have run is not retried, and a statement that did not run is", () => {
  const broken = { type: "broken", sent: true, reason: "x" } as const;
  expect(classifyResult(broken, "write").type).toBe("inDoubt");
  expect(classifyResult(broken, "read").type).toBe("retry");
  expect(classifyResult({ ...broken, sent: false }, "write").type).toBe("retry");
  for (const code of ["busy", "lagging", "readOnly", "wrongTarget"] as const) {
    expect(classifyResult(failed(code), "write")).toMatchObject({ type: "retry", isNotRun: true });
  }
  for (const code of ["failed", "timeout", "inDoubt"] as const) {
    expect(classifyResult(failed(code), "write").type).toBe("done");
    expect(classifyResult(failed(code), "read").type).toBe("retry");
  }
});

// After a power loss of all machines the targets still count the connections of the previous processes, so
// that both these and the new connections must fit into the limit.
test("twice the shares of all proxies fit into a target's connection limit", () => {
  for (let proxies = 1; proxies < 12; proxies += 1) {
    const { base, max } = computeShare(16, shared, { type: "equal", proxies });
    expect(base === 1 || base * proxies * 2 <= 15).toBe(true);
    expect(max === 1 || max * proxies <= 15).toBe(true);
  }
  expect(computeShare(16, shared, { type: "equal", proxies: 7 })).toMatchObject({
    base: 1,
    max: 2,
  });
  expect(computeShare(55, shared, { type: "equal", proxies: 8 })).toMatchObject({
    base: 3,
    max: 4,
  });
});

const shared = { slots: 3, announcedRole: "primary" } as const;

// After a power loss restarts all gateways, a target counts their old connections for three more seconds. If
// the new connections did not fit beside them, the gateways would be refused every connection in that time.
test.each([
  [37, 6],
  [38, 8],
  [58, 6],
  [16, 6],
])(
  "twice the gateways' bases fit into a limit of %i connections with %i gateways",
  (connections, proxies) => {
    const count = (isFirst: boolean) => {
      const rule: ShareRule = { type: "chosen", proxies, isFirst };
      return computeShare(connections, shared, rule);
    };
    const base = count(true).base + (proxies - 1) * count(false).base;
    expect(2 * base).toBeLessThanOrEqual(connections);
    const max = count(true).max + (proxies - 1) * count(false).max;
    expect(max).toBeLessThan(connections);
    expect(count(true).base).toBeGreaterThanOrEqual(count(false).base);
  },
);

// Each read needs a slot, and a replica answers reads beyond its slots as busy. Transactions on a primary hold
// connections without a slot while they are idle between statements.
test("the preferred gateway may run more statements at a primary than at a replica", () => {
  const rule: ShareRule = { type: "chosen", proxies: 6, isFirst: true };
  expect(computeShare(37, shared, rule).slots).toBe(12);
  expect(computeShare(37, { ...shared, announcedRole: "replica" }, rule).slots).toBe(6);
});

test("a proxy without a share may open one connection", () => {
  expect(computeShare(185, shared, { type: "none" })).toEqual({ base: 1, max: 1, slots: 1 });
});

test("the idle limit of a transaction is shorter while others wait", () => {
  expect(isIdleLimitReached(2999, 3000, false)).toBe(false);
  expect(isIdleLimitReached(3000, 3000, false)).toBe(true);
  expect(isIdleLimitReached(399, 3000, true)).toBe(false);
  expect(isIdleLimitReached(400, 3000, true)).toBe(true);
  // A shorter configured limit takes precedence.
  expect(isIdleLimitReached(100, 100, false)).toBe(true);
});

test("a read needs the primary when its replicas lag or fail, but not when they only had no slot", () => {
  const needs = (views: readonly CandidateTarget[], demand = read) =>
    needsPrimarySlot(demand, serving, views, 100);
  const lagging = view("a", { health: noteLagging(healthyTarget, 100) });
  const failing = view("b", { health: noteFailure(healthyTarget, 100) });
  expect(needs([view("p"), view("a")])).toBe(false);
  expect(needs([view("p"), lagging, failing])).toBe(true);
  expect(needs([view("p"), lagging, view("b")])).toBe(false);
  expect(needs([view("p"), view("a", { running: 2, occupiedSlots: 2 })])).toBe(false);
  expect(needs([view("p"), view("a")], { ...read, excluded: new Set(["a"]) })).toBe(false);
  expect(needs([view("p"), view("a")], { ...read, needsPrimary: true })).toBe(true);
  expect(needs([view("p")])).toBe(true);
});
