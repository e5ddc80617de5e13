import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { OwnerTable } from "../../src/fleet/index.js";
import type { Vm } from "../../src/model/index.js";
import { orderOwners } from "../../src/policy/index.js";
import { makeVm } from "./fakes.js";

const groups = ["g1", "g2", "g3", "g4", "g5"];

// VMs join, leave and rejoin at other addresses, with lookups of groups in between. A stale cached
// owner would send a caller's requests to a VM that has left, or keep two owners for one group.
test("cached owners equal those found by ordering all VMs as VMs join and leave", () => {
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
