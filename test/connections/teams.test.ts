import { expect, test } from "@jest/globals";
import { PoolHarness } from "./builders.js";

/** A pool that may have two connections and keeps them open. */
const makePool = () =>
  new PoolHarness({ limit: 4, controlReserve: 0, maxShare: 2, minIdle: 2, maxOpening: 2 });

const ask = (harness: PoolHarness, waiter: string, team: string) =>
  harness.apply({ type: "ask", waiter, team, deadlineAt: 1e9 });

/** Opens a connection for a team and returns it to the pool at `at`. */
function open(harness: PoolHarness, connection: string, team: string, at: number): void {
  harness.at = at;
  ask(harness, `w${connection}`, team);
  harness.apply({ type: "opened", connection });
  harness.ready(connection);
}

// The target learns a team's name when a connection is opened. If the connection were granted to
// another team, the other team's statements would run under the first one's name.
test("a connection is granted only to its own team", () => {
  const harness = makePool();
  open(harness, "1", "cello", 0);
  expect(ask(harness, "a", "viola")).toEqual([{ type: "open", connection: "2", team: "viola" }]);
  expect(ask(harness, "b", "cello")).toEqual([{ type: "grant", waiter: "b", connection: "1" }]);
});

// All places are taken by idle connections of other teams. The least recently used one is replaced
// at once. If its place became free only when it stops counting, each statement of a team that
// rarely sends one would be delayed.
test("a full pool replaces the least recently used idle connection of another team", () => {
  const harness = makePool();
  open(harness, "1", "cello", 10);
  open(harness, "2", "viola", 20);
  harness.at = 30;
  expect(ask(harness, "a", "bass")).toEqual([
    { type: "close", connection: "1", reason: "replaced" },
    { type: "open", connection: "3", team: "bass" },
  ]);
  expect(harness.state("1")).toBe("gone");
});

// A connection in use is never closed for another team, and neither is one that a waiter of its own
// team waits for.
test("a connection in use is not replaced", () => {
  const harness = makePool();
  open(harness, "1", "cello", 10);
  open(harness, "2", "viola", 20);
  ask(harness, "a", "cello");
  ask(harness, "b", "viola");
  expect(ask(harness, "c", "bass")).toEqual([]);
  expect(harness.ready("1")).toEqual([
    { type: "close", connection: "1", reason: "replaced" },
    { type: "open", connection: "3", team: "bass" },
  ]);
});

// A connection is being opened for one team when another team asks. The opening does not count for
// the other team, so that each gets its own.
test("a connection being opened counts only for its own team", () => {
  const harness = makePool();
  expect(ask(harness, "a", "cello")).toEqual([{ type: "open", connection: "1", team: "cello" }]);
  expect(ask(harness, "b", "viola")).toEqual([{ type: "open", connection: "2", team: "viola" }]);
  expect(harness.apply({ type: "opened", connection: "2" })).toEqual([
    { type: "grant", waiter: "b", connection: "2" },
  ]);
});
