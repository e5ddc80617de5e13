import { expect, test } from "@jest/globals";
import { decodeRouteTable } from "../../platform/feed.js";

const route = (host: string, fields: Readonly<Record<string, unknown>>) => ({
  host,
  service: "ledger",
  type: "primary",
  "timeout-ms": 800,
  ...fields,
});
const decode = (...routes: readonly object[]) =>
  decodeRouteTable({ version: 1, services: [], routes });
const three = [
  route("a", { priority: 0, "target-latency-ms": 150 }),
  route("b", { priority: 1, "target-latency-ms": 250 }),
  route("c", { priority: 2, "target-latency-ms": 700, type: "bounded_staleness" }),
];
const findAction = (table: ReturnType<typeof decode>, name: string) =>
  table?.databases.get(name)?.action;

test("three distinct levels are in force, with their objectives and the classes of older nodes", () => {
  const table = decode(...three, route("again", { priority: 2 }));
  expect(findAction(table, "a")).toMatchObject({
    level: 0,
    objectiveMs: 150,
    priority: "critical",
  });
  expect(findAction(table, "b")).toMatchObject({
    level: 1,
    objectiveMs: 250,
    priority: "critical",
  });
  expect(findAction(table, "c")).toMatchObject({
    level: 2,
    objectiveMs: 700,
    priority: "browsing",
  });
  expect(findAction(table, "again")).toMatchObject({ level: 2, objectiveMs: 800 });
  expect(table).not.toHaveProperty("levelFaults");
});

test("a statement of a level may queue as long as without levels", () => {
  const waits = ["a", "b", "c"].map((name) => findAction(decode(...three), name)?.maxQueueMs);
  expect(waits).toEqual([400, 400, 700]);
});

// Guards against a deployment with two levels whose decisions change.
test("with fewer than three distinct valid levels no route has a level", () => {
  const two = [
    ...three.slice(0, 2),
    route("again", { priority: 1 }),
    route("odd", { priority: -1 }),
  ];
  for (const name of ["a", "b", "again", "odd"]) {
    expect(findAction(decode(...two), name)).not.toHaveProperty("level");
    expect(findAction(decode(...two), name)).not.toHaveProperty("objectiveMs");
  }
});

// A few unused routes of one group put levels in force for a whole deployment that has two.
test("levels are in force only if the routes of each group have three", () => {
  const other = [1, 2].map((priority) => route(`o${priority}`, { priority, service: "rentals" }));
  const table = decode(...three, ...other);
  for (const name of ["a", "b", "c", "o1", "o2"]) {
    expect(findAction(table, name)).not.toHaveProperty("level");
  }
  const third = route("o0", { priority: 0, service: "rentals" });
  expect(findAction(decode(...three, ...other, third), "a")).toMatchObject({ level: 0 });
});

// Guards against an invalid value that discards the configuration, or that takes effect unnoticed.
test.each([
  [{ priority: -1 }, "priority", "-1"],
  [{ priority: "1" }, "priority", '"1"'],
  [{ priority: 1.5 }, "priority", "1.5", "normal"],
  [{ priority: null }, "priority", "null"],
  [{ priority: 2 ** 32 }, "priority", "4294967296", "normal"],
  [{ priority: 1, "target-latency-ms": 801 }, "target-latency-ms", "801"],
  [{ priority: 1, "target-latency-ms": 0 }, "target-latency-ms", "0"],
  [{ priority: 1, "target-latency-ms": -5 }, "target-latency-ms", "-5"],
  [
    { priority: 1, "target-latency-ms": "x".repeat(500) },
    "target-latency-ms",
    `"${"x".repeat(59)}`,
  ],
])(
  "a route with %j keeps its class and is named with its value",
  (fields, field, value, priority = "critical") => {
    const table = decode(...three, route("odd", fields));
    expect(findAction(table, "odd")).not.toHaveProperty("level");
    expect(findAction(table, "odd")).toMatchObject({ type: "serve", priority });
    expect(table?.levelFaults).toEqual([{ name: "odd", field, value }]);
    expect(findAction(table, "a")).toMatchObject({ level: 0 });
  },
);

// Guards against a deadline of 0 without an objective that makes the decoding of the configuration fail.
test.each([0, -5])(
  "a deadline of %d in place of the objective is named as the fault",
  (deadlineMs) => {
    const odd = route("odd", { priority: 1, "timeout-ms": deadlineMs });
    for (const source of [odd, { ...odd, "target-latency-ms": null }]) {
      const table = decode(...three, source);
      const value = String(deadlineMs);
      expect(findAction(table, "odd")).not.toHaveProperty("level");
      expect(table?.levelFaults).toEqual([{ name: "odd", field: "timeout-ms", value }]);
      expect(findAction(table, "a")).toMatchObject({ level: 0 });
    }
  },
);

test("a route without a level keeps its class and is no fault", () => {
  const table = decode(...three, route("plain", { "target-latency-ms": 5000 }));
  expect(findAction(table, "plain")).not.toHaveProperty("level");
  expect(table).not.toHaveProperty("levelFaults");
});

// Guards against a log line about objectives in a deployment that does not order statements by them.
test("an objective beyond the deadline is no fault while no levels are in force", () => {
  const table = decode(three[0] ?? {}, route("late", { priority: 2, "target-latency-ms": 1500 }));
  expect(table).not.toHaveProperty("levelFaults");
});
