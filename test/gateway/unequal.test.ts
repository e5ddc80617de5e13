import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { chooseGateways, gatewaysPerDataCentre, listGateways } from "../../src/gateway/choose.js";
import type { Proxy } from "../../src/leadership/index.js";
import { makeGroup, makeProxy } from "./builders.js";

const seed = 72;
const dataCentres = ["a", "b", "c", "d"];
const group = makeGroup({ connections: 46, dataCentres: ["a", "b", "c"] });
const names = Array.from({ length: 1000 }, (_, i) => `group-${i}`);

/** Values that a broken entry, a peer or a mistake in the settings may state; a peer's list is not checked. */
const absurd = fc.constantFrom<unknown>(
  ...[Number.NaN, Infinity, -Infinity, -3, 0, 1e6, 1e300, "140", null, undefined, {}],
);
const usable = (max: number) => fc.double({ min: 0.1, max, noNaN: true });
const entry = fc.record({
  power: fc.oneof(usable(2), absurd),
  linkMbps: fc.oneof(usable(140), absurd),
  descriptors: fc.oneof(fc.integer({ min: 1, max: 8192 }), absurd),
});
const fleets = fc
  .array(entry, { minLength: 16, maxLength: 60 })
  .map((entries) =>
    entries.map((fields, i) => ({ ...makeProxy(i, dataCentres[i % 4]), ...fields }) as Proxy),
  );

const list = (proxies: readonly Proxy[], name = group.name, isSlotPlanned = true) =>
  listGateways(chooseGateways({ ...group, name }, proxies, isSlotPlanned)).map(({ vm }) => vm);

function removeLimits(proxy: Proxy): Proxy {
  const fields = Object.entries(proxy).filter(
    ([name]) => name !== "linkMbps" && name !== "descriptors",
  );
  return Object.fromEntries(fields) as unknown as Proxy;
}

/** Makes 20 proxies of one data centre, of which the first has other capacities than the rest. */
function makeFleet(first: Partial<Proxy>, rest: Partial<Proxy> = {}): readonly Proxy[] {
  return Array.from({ length: 20 }, (_, i) => ({
    ...makeProxy(i, "a"),
    ...(i === 0 ? first : rest),
  }));
}

const countFirst = (proxies: readonly Proxy[]) =>
  names.filter((name) => list(proxies, name)[0] === "vm-0").length / names.length;

// A proxy starts or stops. If others' groups moved as well, their connections and queues would be lost.
test("a node that joins or leaves moves only its own groups", () => {
  fc.assert(
    fc.property(fleets, fc.nat(), fc.string(), (proxies, pick, name) => {
      const moved = proxies[pick % proxies.length]?.vm ?? "";
      const withIt = list(proxies, name);
      const withoutIt = list(
        proxies.filter(({ vm }) => vm !== moved),
        name,
      );
      expect(withoutIt).toEqual(expect.arrayContaining(withIt.filter((vm) => vm !== moved)));
      if (!withIt.includes(moved)) expect(withoutIt).toEqual(withIt);
    }),
    { seed },
  );
});

// Nodes that read the entries in another order, or at a peer, would send statements to different gateways.
test("all nodes compute the same plan from the same entries", () => {
  fc.assert(
    fc.property(fleets, (proxies) => {
      const { byDataCentre } = chooseGateways(group, proxies, true);
      expect([...byDataCentre.values()].map((gateways) => gateways.length)).toEqual(
        [...byDataCentre.keys()].map(() => gatewaysPerDataCentre),
      );
      const copied = JSON.parse(JSON.stringify(proxies)) as readonly Proxy[];
      expect(list([...copied].reverse())).toEqual(list(proxies));
    }),
    { seed },
  );
});

// Guards against a weight that changes the gateways of deployments for which the part is off. The expected
// gateways are those of the build before.
test("where slots are not planned links and descriptors make no difference", () => {
  const proxies = Array.from({ length: 24 }, (_, i) => ({
    ...makeProxy(i, dataCentres[i % 4]),
    power: 0.3 + 0.1 * (i % 9),
    linkMbps: 1 + i,
    descriptors: 10 * i,
  }));
  const scarce = { ...group, connections: 8 };
  const before = ["ledger", "orders", "stock"].map((name) =>
    listGateways(chooseGateways({ ...scarce, name }, proxies)).map(({ vm }) => vm),
  );
  expect(before).toEqual([
    ["vm-16", "vm-8", "vm-21", "vm-17", "vm-6", "vm-2"],
    ["vm-8", "vm-16", "vm-13", "vm-17", "vm-6", "vm-22"],
    ["vm-16", "vm-8", "vm-5", "vm-1", "vm-6", "vm-14"],
  ]);
  fc.assert(
    fc.property(fleets, (fleet) => {
      const bare = fleet.map(removeLimits);
      expect(chooseGateways(scarce, fleet).isEveryProxyGateway).toBe(false);
      const listBy = (listed: readonly Proxy[]) =>
        listGateways(chooseGateways(scarce, listed)).map(({ vm }) => vm);
      expect(listBy(fleet)).toEqual(listBy(bare));
    }),
    { seed },
  );
});

test("entries without links and descriptors have the plan that power alone gives", () => {
  const proxies = Array.from({ length: 24 }, (_, i) => ({
    ...makeProxy(i, dataCentres[i % 4]),
    power: 0.3 + 0.1 * (i % 9),
  }));
  const scarce = { ...group, connections: 8 };
  expect(chooseGateways(scarce, proxies, true)).toEqual(chooseGateways(scarce, proxies, false));
});

// A gateway on a link of 7 Mbit/s holds up the statements of all nodes that forward to it.
test("below 20 Mbit/s a link reduces the groups of a proxy in proportion", () => {
  const even = countFirst(makeFleet({ linkMbps: 20 }, { linkMbps: 140 }));
  const half = countFirst(makeFleet({ linkMbps: 10 }, { linkMbps: 140 }));
  // One of 20 proxies with a weight of 1 in 20, or of 0.5 in 19.5.
  expect(Math.abs(even - 1 / 20)).toBeLessThan(0.02);
  expect(Math.abs(half - 0.5 / 19.5)).toBeLessThan(0.012);
});

// Such a proxy would run out of descriptors when it opens the connections of its groups, and refuse callers.
test("a proxy whose descriptors can't hold the connections is a gateway only without others", () => {
  // Three targets with 46 connections each, and 512 descriptors in reserve.
  const few = makeFleet({ power: 2, descriptors: 649 }, { descriptors: 4300 });
  expect(names.slice(0, 500).some((name) => list(few, name).includes("vm-0"))).toBe(false);
  expect(
    countFirst(makeFleet({ power: 2, descriptors: 650 }, { descriptors: 4300 })),
  ).toBeGreaterThan(0.5);
  const all = makeFleet({ descriptors: 1 }, { descriptors: 1 });
  expect(list(all)).toHaveLength(gatewaysPerDataCentre);
});

// A mistake in one proxy's settings would send it all groups, or none of them anywhere.
test.each<Readonly<Record<string, unknown>>>([
  { power: 1e6 },
  { linkMbps: 1e6 },
  { linkMbps: Infinity },
  { linkMbps: Number.NaN },
  { linkMbps: -7 },
  { linkMbps: 0 },
  { linkMbps: "140" },
  { descriptors: -1 },
  { descriptors: Number.NaN },
  { descriptors: 1e12 },
  { descriptors: null },
])("a proxy with the absurd value %p gets the groups of one that states nothing", (fields) => {
  expect(countFirst(makeFleet(fields as Partial<Proxy>))).toBe(countFirst(makeFleet({})));
});
