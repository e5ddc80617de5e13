import { expect, test } from "@jest/globals";
import { PoolHarness } from "./builders.js";

/** A pool that may hold two connections and keeps them open. */
const makeBench = () =>
  new PoolHarness({ limit: 4, controlReserve: 0, maxShare: 2, minIdle: 2, maxOpening: 2 });

const ask = (bench: PoolHarness, waiter: string, team: string) =>
  bench.apply({ type: "ask", waiter, team, deadlineAt: 1e9 });

/** Opens a connection for a team and gives it back at `at`. */
function open(bench: PoolHarness, connection: string, team: string, at: number): void {
  bench.at = at;
  ask(bench, `w${connection}`, team);
  bench.apply({ type: "opened", connection });
  bench.ready(connection);
}

// A target was told a team's name when the connection was opened. Given to another team, its statements
// would be run in the first one's name.
test("a connection is granted to its own team alone", () => {
  const bench = makeBench();
  open(bench, "1", "cello", 0);
  expect(ask(bench, "a", "viola")).toEqual([{ type: "open", connection: "2", team: "viola" }]);
  expect(ask(bench, "b", "cello")).toEqual([{ type: "grant", waiter: "b", connection: "1" }]);
});

// All places are taken by idle connections of other teams. The one that was used longest ago makes room at
// once: waiting for it to count no more would hold up each statement of a team that comes seldom.
test("in a full pool the idle connection of another team that was used longest ago makes room", () => {
  const bench = makeBench();
  open(bench, "1", "cello", 10);
  open(bench, "2", "viola", 20);
  bench.at = 30;
  expect(ask(bench, "a", "bass")).toEqual([
    { type: "close", connection: "1", reason: "replaced" },
    { type: "open", connection: "3", team: "bass" },
  ]);
  expect(bench.state("1")).toBe("gone");
});

// What is in use is never closed for another team, nor what somebody of its own team waits for.
test("a connection in use makes room for nobody", () => {
  const bench = makeBench();
  open(bench, "1", "cello", 10);
  open(bench, "2", "viola", 20);
  ask(bench, "a", "cello");
  ask(bench, "b", "viola");
  expect(ask(bench, "c", "bass")).toEqual([]);
  expect(bench.ready("1")).toEqual([
    { type: "close", connection: "1", reason: "replaced" },
    { type: "open", connection: "3", team: "bass" },
  ]);
});

// One opening is under way for a team, and another team asks. The opening is not taken for it: each gets
// its own.
test("an opening that is under way counts for its own team alone", () => {
  const bench = makeBench();
  expect(ask(bench, "a", "cello")).toEqual([{ type: "open", connection: "1", team: "cello" }]);
  expect(ask(bench, "b", "viola")).toEqual([{ type: "open", connection: "2", team: "viola" }]);
  expect(bench.apply({ type: "opened", connection: "2" })).toEqual([
    { type: "grant", waiter: "b", connection: "2" },
  ]);
});
