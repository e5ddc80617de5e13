import { expect, test } from "@jest/globals";
import type { LogEvent, LogFields } from "../../src/log/index.js";
import { RegionCheck } from "../../src/node/region-check.js";
import { singleRegion, Topology } from "../../src/topology/index.js";

function createCheck(topology: Topology) {
  const lines: (readonly [string, LogFields])[] = [];
  const write = (event: LogEvent, fields: LogFields = {}) => void lines.push([event.name, fields]);
  return { lines, check: new RegionCheck(topology, { write }) };
}

test("a data centre without a region is logged once with its value", () => {
  const topology = new Topology(
    new Map([
      ["a", "east"],
      ["b", "west"],
      ["c", ""],
    ]),
  );
  const { lines, check } = createCheck(topology);
  check.check(["a", ...topology.listWithoutRegion()]);
  check.check(["b", "c", "d"]);
  check.check(["d", ""]);
  expect(lines).toEqual([
    ["dataCentreWithoutRegion", { dataCentre: "c" }],
    ["dataCentreWithoutRegion", { dataCentre: "d" }],
    ["dataCentreWithoutRegion", { dataCentre: "" }],
  ]);
});

test("without regions nothing is logged", () => {
  const { lines, check } = createCheck(singleRegion);
  check.check(["a", ""]);
  expect(lines).toEqual([]);
});
