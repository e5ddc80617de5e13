import { expect, test } from "@jest/globals";
import { countAgainstLimit, listConnections } from "../../src/controller/connections/index.js";
import { PoolHarness } from "./builders.js";

test("a connection is opened for the first waiter and reused by the next", () => {
  const harness = new PoolHarness();
  expect(harness.ask("a")).toEqual([{ type: "open", connection: "1", team: "" }]);
  expect(harness.apply({ type: "opened", connection: "1" })).toEqual([
    { type: "grant", waiter: "a", connection: "1" },
  ]);
  harness.ready("1");
  expect(harness.ask("b")).toEqual([{ type: "grant", waiter: "b", connection: "1" }]);
});

// A transaction is open, or a pipelined answer is still expected, when `ReadyForQuery` arrives. If
// the connection were returned then, the next caller's statement would run inside the first
// caller's transaction, or its caller would read the first one's answer. The connection stays with
// its holder until everything is complete.
test("a connection returns to the pool only when nothing is in flight", () => {
  const harness = new PoolHarness();
  harness.hold(1);
  harness.ready("1", "T");
  harness.ready("1", "E");
  harness.ready("1", "I", 1);
  expect(harness.state("1")).toBe("active");
  harness.ready("1", "I", 0);
  expect(harness.state("1")).toBe("idle");
});

// A caller gives up while its statement runs, and the answer arrives later. If the connection were
// returned to the pool, the next caller would receive that answer.
test("an abandoned statement closes its connection for good", () => {
  const harness = new PoolHarness();
  harness.hold(1);
  harness.apply({ type: "giveUp", waiter: "w1" });
  expect(harness.ready("1")).toEqual([]);
  expect(harness.ask("b")).toEqual([{ type: "open", connection: "2", team: "" }]);
  expect(harness.state("1")).toBe("closed");
});

// A firewall has lost the state of all connections that were open at the time and drops their
// packets. The first caller waits for the progress timeout. So that the others do not, idle
// connections without later activity are checked at once; one with later activity is known to be
// alive.
test("a silent connection triggers checks of connections of the same age", () => {
  const harness = new PoolHarness({ progressTimeoutMs: 500, checkTimeoutMs: 50, minIdle: 9 });
  harness.hold(3);
  ["1", "2"].forEach((id) => harness.ready(id));
  harness.at = 100;
  harness.ask("late");
  harness.ready("3");
  expect(harness.tick(650)).toEqual([
    { type: "close", connection: "1", reason: "silent" },
    { type: "lose", waiter: "late", connection: "1" },
    { type: "check", connection: "2" },
    { type: "check", connection: "3" },
  ]);
  harness.apply({ type: "checked", connection: "3", isAlive: true });
  expect(harness.ask("next")).toEqual([{ type: "grant", waiter: "next", connection: "3" }]);
  expect(harness.tick(700)).toEqual([{ type: "close", connection: "2", reason: "silent" }]);
});

test("a connection that was idle for long is checked before it is granted", () => {
  const harness = new PoolHarness({ checkAfterIdleMs: 100 });
  harness.hold(1);
  harness.ready("1");
  harness.at = 100;
  expect(harness.ask("a")).toEqual([{ type: "check", connection: "1" }]);
  expect(harness.apply({ type: "checked", connection: "1", isAlive: true })).toEqual([
    { type: "grant", waiter: "a", connection: "1" },
  ]);
});

/**
 * Answers the pool's openings like a target with a limit of 16 that also counts `others`. Returns
 * the number of refused ones.
 */
function serveOpenings(harness: PoolHarness, others: number): number {
  let refusals = 0;
  for (const c of listConnections(harness.pool, "opening")) {
    const isFull = others + countAgainstLimit(harness.pool) > 16;
    if (isFull) refusals += 1;
    harness.apply(
      isFull
        ? { type: "openFailed", connection: c.id, reason: "tooMany" }
        : { type: "opened", connection: c.id },
    );
  }
  return refusals;
}

// An owner dies while it holds its maximum, and the target counts its connections for a long time.
// If the successor opened as many at once, the target would refuse it, and control connections too.
// Each owner stays below half of the limit, so that both fit and two connections are left for
// control.
test("an owner and its successor together stay below the limit", () => {
  const [before, after] = [new PoolHarness(), new PoolHarness()];
  for (let at = 0; at <= 5000; at += 20) {
    for (const harness of [before, after]) {
      harness.ask(`w${at}`);
      harness.tick(at);
    }
    serveOpenings(before, 0);
    expect(serveOpenings(after, countAgainstLimit(before.pool))).toBe(0);
    expect(countAgainstLimit(before.pool) + countAgainstLimit(after.pool)).toBeLessThanOrEqual(14);
  }
  expect(countAgainstLimit(after.pool)).toBe(7);
});

// An owner may open 14 of 16 connections. It dies, and the target counts them for another 5 s. Its
// successor must not flood the target with openings that fail with 53300. It starts with one, backs
// off between attempts, and reaches 14 once the old connections are gone.
test("a new owner takes over its predecessor's connections without a storm of openings", () => {
  const harness = new PoolHarness({ maxShare: 14, growIntervalMs: 100 });
  let refusals = 0;
  for (let at = 0; at <= 20_000; at += 10) {
    harness.ask(`w${at}`);
    harness.tick(at);
    refusals += serveOpenings(harness, at < 5000 ? 14 : 0);
    if (at === 0) expect(countAgainstLimit(harness.pool)).toBe(1);
  }
  expect(refusals).toBeLessThan(12);
  expect(countAgainstLimit(harness.pool)).toBe(14);
});

// Nothing listens at the target's address, so that every attempt fails and no connection is open.
// Callers are refused at once, with the time of the next attempt, instead of at their deadline.
test("waiters are refused at once while no connection can be opened", () => {
  const harness = new PoolHarness({ firstBackoffMs: 100 });
  harness.ask("a");
  expect(harness.apply({ type: "openFailed", connection: "1", reason: "failed" })).toEqual([
    { type: "refuse", waiter: "a", reason: "noConnection", retryAfterMs: 100 },
  ]);
  expect(harness.ask("b")).toMatchObject([{ type: "refuse", waiter: "b" }]);
  harness.at = 100;
  expect(harness.ask("c")).toEqual([{ type: "open", connection: "2", team: "" }]);
});

test("draining closes idle connections and lets the others finish", () => {
  const harness = new PoolHarness();
  harness.hold(2);
  harness.ready("1");
  expect(harness.apply({ type: "drain" })).toEqual([
    { type: "close", connection: "1", reason: "draining" },
  ]);
  expect(harness.ask("late")).toMatchObject([{ type: "refuse", reason: "draining" }]);
  expect(harness.ready("2")).toEqual([{ type: "close", connection: "2", reason: "draining" }]);
});

// A proxy takes over callers of others that were cut off, and its one connection does not suffice.
// It opens another for a caller that has waited for a while, and closes it soon afterwards, since
// other proxies may need its place.
test("a share grows for a waiter that has waited, and shrinks when it is not needed", () => {
  const settings = { controlReserve: 0, growAfterMs: 60, idleTimeoutMs: 1000, minIdle: 1 };
  const harness = new PoolHarness({ ...settings, limit: 3, maxShare: 2 });
  harness.hold(1);
  harness.ask("a");
  expect(harness.tick(50)).toEqual([]);
  expect(harness.tick(60)).toEqual([{ type: "open", connection: "2", team: "" }]);
  harness.apply({ type: "opened", connection: "2" });
  harness.ready("1");
  harness.ready("2");
  expect(harness.tick(1000)).toEqual([]);
  expect(harness.tick(1060)).toMatchObject([{ type: "close", reason: "surplus" }]);
  harness.ask("b");
  expect(harness.ask("c")).toEqual([]);
});

// After a power failure the target still counts the connections of the previous processes. What a
// proxy opened beyond its base would take the place of another proxy's only connection.
test("a share does not grow before `growNotBefore`", () => {
  const settings = { controlReserve: 0, growNotBefore: 4000, checkAfterIdleMs: 1e6 };
  const harness = new PoolHarness({ ...settings, limit: 3, maxShare: 2 });
  harness.hold(1);
  harness.ask("a");
  expect(harness.tick(3900)).toEqual([]);
  expect(harness.tick(4000)).toEqual([{ type: "open", connection: "2", team: "" }]);
});

// The slots of the target are all taken, so that more connections would only be refused more often.
test("a share does not grow while the target is full", () => {
  const settings = { controlReserve: 0, growPauseWhenFullMs: 500, checkAfterIdleMs: 1e6 };
  const harness = new PoolHarness({ ...settings, limit: 3, maxShare: 2 });
  harness.hold(1);
  harness.apply({ type: "full" });
  harness.ask("a");
  expect(harness.tick(490)).toEqual([]);
  expect(harness.tick(500)).toEqual([{ type: "open", connection: "2", team: "" }]);
});

test("a pool follows a change of its limits", () => {
  const harness = new PoolHarness({ controlReserve: 0, limit: 4, maxShare: 2, idleTimeoutMs: 1e6 });
  harness.hold(2);
  expect(harness.ask("a")).toEqual([]);
  expect(harness.apply({ type: "resize", limit: 6, maxShare: 3 })).toEqual([
    { type: "open", connection: "3", team: "" },
  ]);
});
