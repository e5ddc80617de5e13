import { expect, test } from "@jest/globals";
import { listBelowFloor, summariseServed } from "../../standin/soak/nodes/index.js";

const floors = { total: 0.5, kind: 0.4, zone: 0.45 };
const worth = { worth: 2, lateWorth: 0.6 };

function ask(count: number, kind: string, zone: string, outcome: "served" | "late" | "refused") {
  const common = { kind, zone, region: "r", team: "t", atMs: 0, isOwed: true, reason: "" };
  return Array.from({ length: count }, () => ({ ...common, ...worth, outcome }));
}

// The total hides a kind or a zone that gets nothing.
test("a kind and a zone are held to floors of their own", () => {
  const served = summariseServed([
    ...ask(80, "reserve", "a", "served"),
    ...ask(20, "browse", "b", "late"),
  ]);
  expect(listBelowFloor(served, { floors })).toEqual([
    "browse earned 0.300, below 0.4",
    "b earned 0.300, below 0.45",
  ]);
});

test("a kind with less than a twentieth of the operations has no floor", () => {
  const served = summariseServed([
    ...ask(96, "reserve", "a", "served"),
    ...ask(4, "browse", "a", "refused"),
  ]);
  expect(listBelowFloor(served, { floors })).toEqual([]);
});
