import { expect, test } from "@jest/globals";
import { countAgainstLimit, listConnections } from "../../src/controller/connections/index.js";
import { PoolHarness } from "./builders.js";

test("a connection is opened for the first waiter and used again by the next", () => {
  const bench = new PoolHarness();
  expect(bench.ask("a")).toEqual([{ type: "open", connection: "1", team: "" }]);
  expect(bench.apply({ type: "opened", connection: "1" })).toEqual([
    { type: "grant", waiter: "a", connection: "1" },
  ]);
  bench.ready("1");
  expect(bench.ask("b")).toEqual([{ type: "grant", waiter: "b", connection: "1" }]);
});

// A transaction is open, or a pipelined answer is still owed, when `ReadyForQuery` comes.
// Given back then, the next caller's statement would run inside the first one's transaction,
// or read its answer. The connection stays with its holder until all is over.
test("only the end of everything in flight gives a connection back", () => {
  const bench = new PoolHarness();
  bench.hold(1);
  bench.ready("1", "T");
  bench.ready("1", "E");
  bench.ready("1", "I", 1);
  expect(bench.state("1")).toBe("active");
  bench.ready("1", "I", 0);
  expect(bench.state("1")).toBe("idle");
});

// A caller gives up while its statement runs. The answer comes later, to nobody.
// Put back into the pool, the connection would hand it to the next caller.
test("an abandoned statement closes its connection for good", () => {
  const bench = new PoolHarness();
  bench.hold(1);
  bench.apply({ type: "giveUp", waiter: "w1" });
  expect(bench.ready("1")).toEqual([]);
  expect(bench.ask("b")).toEqual([{ type: "open", connection: "2", team: "" }]);
  expect(bench.state("1")).toBe("closed");
});

// A firewall lost track of every connection that was open then; their packets vanish.
// The first caller waits for the progress timeout. The others must not each wait as long:
// idle connections of the same age are checked at once, and a younger one is known to be alive.
test("one silent connection brings a check of those of its age", () => {
  const bench = new PoolHarness({ progressTimeoutMs: 500, checkTimeoutMs: 50, minIdle: 9 });
  bench.hold(3);
  ["1", "2"].forEach((id) => bench.ready(id));
  bench.at = 100;
  bench.ask("late");
  bench.ready("3");
  expect(bench.tick(650)).toEqual([
    { type: "close", connection: "1", reason: "silent" },
    { type: "lose", waiter: "late", connection: "1" },
    { type: "check", connection: "2" },
    { type: "check", connection: "3" },
  ]);
  bench.apply({ type: "checked", connection: "3", isAlive: true });
  expect(bench.ask("next")).toEqual([{ type: "grant", waiter: "next", connection: "3" }]);
  expect(bench.tick(700)).toEqual([{ type: "close", connection: "2", reason: "silent" }]);
});

test("one that was idle for long answers a check before it is granted", () => {
  const bench = new PoolHarness({ checkAfterIdleMs: 100 });
  bench.hold(1);
  bench.ready("1");
  bench.at = 100;
  expect(bench.ask("a")).toEqual([{ type: "check", connection: "1" }]);
  expect(bench.apply({ type: "checked", connection: "1", isAlive: true })).toEqual([
    { type: "grant", waiter: "a", connection: "1" },
  ]);
});

/** Opens what the pool asks for, as a target with a limit of 16 does that counts `others` too. */
function serveOpenings(bench: PoolHarness, others: number): number {
  let refusals = 0;
  for (const c of listConnections(bench.pool, "opening")) {
    const isFull = others + countAgainstLimit(bench.pool) > 16;
    if (isFull) refusals += 1;
    bench.apply(
      isFull
        ? { type: "openFailed", connection: c.id, reason: "tooMany" }
        : { type: "opened", connection: c.id },
    );
  }
  return refusals;
}

// An owner died holding all that it may; the target counts its connections for a long time.
// Were the successor to open as many at once, the target would refuse it, and control with it.
// Each stays below half of the limit, so that both fit and two are left for control.
test("an owner and its successor fit below the limit together", () => {
  const [before, after] = [new PoolHarness(), new PoolHarness()];
  for (let at = 0; at <= 5000; at += 20) {
    for (const bench of [before, after]) {
      bench.ask(`w${at}`);
      bench.tick(at);
    }
    serveOpenings(before, 0);
    expect(serveOpenings(after, countAgainstLimit(before.pool))).toBe(0);
    expect(countAgainstLimit(before.pool) + countAgainstLimit(after.pool)).toBeLessThanOrEqual(14);
  }
  expect(countAgainstLimit(after.pool)).toBe(7);
});

// Operators have let an owner open 14 of 16; it dies, and for 5 s the target still counts them.
// Its successor must not hammer the target with openings that end in 53300.
// It starts with one, tries for more later and later, and has all 14 once the dead one's are gone.
test("a new owner grows into its predecessor's connections without a storm", () => {
  const bench = new PoolHarness({ maxShare: 14, growIntervalMs: 100 });
  let refusals = 0;
  for (let at = 0; at <= 20_000; at += 10) {
    bench.ask(`w${at}`);
    bench.tick(at);
    refusals += serveOpenings(bench, at < 5000 ? 14 : 0);
    if (at === 0) expect(countAgainstLimit(bench.pool)).toBe(1);
  }
  expect(refusals).toBeLessThan(12);
  expect(countAgainstLimit(bench.pool)).toBe(14);
});

// Nothing listens at the target's address. Every try fails, and no connection is open.
// Callers hear of it at once, with the time of the next try, instead of at their deadline.
test("waiters are refused at once while no connection can be opened", () => {
  const bench = new PoolHarness({ firstBackoffMs: 100 });
  bench.ask("a");
  expect(bench.apply({ type: "openFailed", connection: "1", reason: "failed" })).toEqual([
    { type: "refuse", waiter: "a", reason: "noConnection", retryAfterMs: 100 },
  ]);
  expect(bench.ask("b")).toMatchObject([{ type: "refuse", waiter: "b" }]);
  bench.at = 100;
  expect(bench.ask("c")).toEqual([{ type: "open", connection: "2", team: "" }]);
});

test("draining closes what is free and lets the rest finish", () => {
  const bench = new PoolHarness();
  bench.hold(2);
  bench.ready("1");
  expect(bench.apply({ type: "drain" })).toEqual([
    { type: "close", connection: "1", reason: "draining" },
  ]);
  expect(bench.ask("late")).toMatchObject([{ type: "refuse", reason: "draining" }]);
  expect(bench.ready("2")).toEqual([{ type: "close", connection: "2", reason: "draining" }]);
});

// One proxy gets the callers of others that were cut off, and its one connection does not do. It opens
// another for what has waited for a while, and closes it soon after, since others may need its place.
test("a share grows for what has waited, and falls back when nobody needs it", () => {
  const settings = { controlReserve: 0, growAfterMs: 60, idleTimeoutMs: 1000, minIdle: 1 };
  const bench = new PoolHarness({ ...settings, limit: 3, maxShare: 2 });
  bench.hold(1);
  bench.ask("a");
  expect(bench.tick(50)).toEqual([]);
  expect(bench.tick(60)).toEqual([{ type: "open", connection: "2", team: "" }]);
  bench.apply({ type: "opened", connection: "2" });
  bench.ready("1");
  bench.ready("2");
  expect(bench.tick(1000)).toEqual([]);
  expect(bench.tick(1060)).toMatchObject([{ type: "close", reason: "surplus" }]);
  bench.ask("b");
  expect(bench.ask("c")).toEqual([]);
});

// After a loss of power the target still counts the connections of the processes before. What a proxy
// opened beyond its base would take the place of another's only connection.
test("a share does not grow before its time", () => {
  const settings = { controlReserve: 0, growNotBefore: 4000, checkAfterIdleMs: 1e6 };
  const bench = new PoolHarness({ ...settings, limit: 3, maxShare: 2 });
  bench.hold(1);
  bench.ask("a");
  expect(bench.tick(3900)).toEqual([]);
  expect(bench.tick(4000)).toEqual([{ type: "open", connection: "2", team: "" }]);
});

// The target's slots are all taken, so that more connections would only be turned away more often.
test("a share does not grow at a target that is full", () => {
  const settings = { controlReserve: 0, growPauseWhenFullMs: 500, checkAfterIdleMs: 1e6 };
  const bench = new PoolHarness({ ...settings, limit: 3, maxShare: 2 });
  bench.hold(1);
  bench.apply({ type: "full" });
  bench.ask("a");
  expect(bench.tick(490)).toEqual([]);
  expect(bench.tick(500)).toEqual([{ type: "open", connection: "2", team: "" }]);
});

test("a pool follows a change of its limits", () => {
  const bench = new PoolHarness({ controlReserve: 0, limit: 4, maxShare: 2, idleTimeoutMs: 1e6 });
  bench.hold(2);
  expect(bench.ask("a")).toEqual([]);
  expect(bench.apply({ type: "resize", limit: 6, maxShare: 3 })).toEqual([
    { type: "open", connection: "3", team: "" },
  ]);
});
