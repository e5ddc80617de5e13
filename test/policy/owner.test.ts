import { expect, test } from "@jest/globals";
import fc from "fast-check";
import type { Vm } from "../../src/model/index.js";
import { chooseOwner, orderOwners } from "../../src/policy/index.js";

const vm = (name: string, state: Vm["state"] = "live"): Vm => ({
  name,
  state,
  dataCentre: "palermo",
  peer: { host: "10.0.0.1", port: 1 },
});
const fleets = fc
  .uniqueArray(fc.integer({ min: 0, max: 500 }), { minLength: 2, maxLength: 12 })
  .map((numbers) => numbers.map((n) => vm(`vm-${n}`)));

test("when a VM leaves, only its own groups move, each to the next VM in order", () => {
  fc.assert(
    fc.property(fleets, fc.string(), fc.nat(11), (vms, group, pick) => {
      const order = orderOwners(group, vms);
      expect(chooseOwner(group, vms)).toBe(order[0]);
      expect(chooseOwner(group, [...vms].reverse())).toBe(order[0]);
      const gone = vms[pick % vms.length];
      const rest = vms.map((v) => (v === gone ? vm(v.name, "leaving") : v));
      const next = gone === order[0] ? order[1] : order[0];
      expect(chooseOwner(group, rest)).toBe(next);
    }),
    { seed: 9 },
  );
});

test("groups with similar names are spread evenly over the VMs", () => {
  const vms = Array.from({ length: 8 }, (_, i) => vm(`vm-${i}`));
  const owned = new Map<string | undefined, number>();
  for (let i = 0; i < 4600; i++) {
    const owner = chooseOwner(`libro-alquiler-${i}`, vms)?.name;
    owned.set(owner, 1 + (owned.get(owner) ?? 0));
  }
  expect(Math.min(...owned.values())).toBeGreaterThan(500);
  expect(Math.max(...owned.values())).toBeLessThan(650);
});

test("without a live VM there is no owner", () => {
  expect(chooseOwner("g", [vm("a", "leaving")])).toBeUndefined();
});
