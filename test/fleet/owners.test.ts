import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { OwnerTable } from "../../src/fleet/index.js";
import type { Vm } from "../../src/model/index.js";
import { orderOwners } from "../../src/policy/index.js";
import { makeVm } from "./fakes.js";

const groups = ["g1", "g2", "g3", "g4", "g5"];

// VMs come, go and come back at other addresses while groups are asked for in between.
// A kept owner that is wrong sends a caller's work to a VM that is gone, or to two owners for good.
test("the kept owners are those that ordering all VMs gives, whoever comes and goes", () => {
  const fleet = fc.uniqueArray(fc.nat(9), { minLength: 0, maxLength: 10 });
  fc.assert(
    fc.property(fc.array(fc.tuple(fleet, fc.subarray(groups)), { maxLength: 12 }), (steps) => {
      let live: readonly Vm[] = [];
      const table = new OwnerTable(() => live);
      for (const [i, [numbers, asked]] of steps.entries()) {
        live = numbers.map((n) => makeVm(`vm${n}`, "dc1", n + 10 * i));
        for (const group of asked) {
          expect(table.findOwners(group)).toEqual(orderOwners(group, live).slice(0, 2));
        }
      }
    }),
    { seed: 4711, numRuns: 300 },
  );
});
