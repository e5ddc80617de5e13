import { expect, test } from "@jest/globals";
import {
  compareDistance,
  singleRegion,
  Topology,
  type Distance,
} from "../../src/topology/index.js";

const twoRegions = new Topology(
  new Map([
    ["east-a", "east"],
    ["east-b", "east"],
    ["west-a", "west"],
  ]),
);

test("distances between data centres of two regions", () => {
  expect(twoRegions.hasRegions).toBe(true);
  expect(twoRegions.measureDistance("east-a", "east-a")).toBe("dataCentre");
  expect(twoRegions.measureDistance("east-a", "east-b")).toBe("region");
  expect(twoRegions.measureDistance("east-a", "west-a")).toBe("remote");
});

// A target in a data centre that the settings do not name must not count as near.
test("a data centre without a region is remote from all others", () => {
  expect(twoRegions.measureDistance("east-a", "north-a")).toBe("remote");
  expect(twoRegions.measureDistance("north-a", "north-b")).toBe("remote");
  expect(twoRegions.measureDistance("north-a", "north-a")).toBe("dataCentre");
});

test("nothing is remote where there are fewer than two regions", () => {
  const one = new Topology(new Map([["a", "east"]]));
  expect(one.hasRegions).toBe(false);
  expect(one.measureDistance("a", "b")).toBe("region");
  expect(singleRegion.measureDistance("a", "b")).toBe("region");
});

test("distances are ordered from near to far", () => {
  const distances: Distance[] = ["remote", "dataCentre", "region"];
  expect(distances.sort(compareDistance)).toEqual(["dataCentre", "region", "remote"]);
});

// An empty region name, shared by two data centres, must not make them near each other.
test("a data centre whose entry is empty has no region", () => {
  const regions = new Topology(
    new Map([
      ["a", "east"],
      ["b", "west"],
      ["c", ""],
      ["d", ""],
    ]),
  );
  expect(regions.listWithoutRegion()).toEqual(["c", "d"]);
  expect(regions.measureDistance("c", "d")).toBe("remote");
  const one = new Topology(
    new Map([
      ["a", "east"],
      ["c", ""],
    ]),
  );
  expect(one.hasRegions).toBe(false);
});
