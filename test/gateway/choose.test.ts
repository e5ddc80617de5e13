import { expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  chooseGateways,
  gatewaysPerDataCentre,
  isGateway,
  listGateways,
} from "../../src/gateway/choose.js";
import { orderGateways } from "../../src/gateway/route.js";
import { countListedProxyQuota } from "../../src/gateway/quota.js";
import type { Proxy } from "../../src/leadership/index.js";
import { singleRegion } from "../../src/topology/index.js";
import { makeGroup, makeProxy } from "./builders.js";

const seed = 71;
const dataCentres = ["a", "b", "c", "d"];
/** With so few connections the proxies of these fleets can't each hold one. */
const group = makeGroup({ connections: 8, dataCentres: ["a", "b", "c"] });

const fleets = fc
  .integer({ min: 16, max: 60 })
  .map((count) => Array.from({ length: count }, (_, i) => makeProxy(i, dataCentres[i % 4])));

const list = (proxies: readonly Proxy[], name = group.name) =>
  listGateways(chooseGateways({ ...group, name }, proxies)).map(({ vm }) => vm);

test("each data centre with a target has gateways, the others have none", () => {
  fc.assert(
    fc.property(fleets, (proxies) => {
      const { byDataCentre, isEveryProxyGateway } = chooseGateways(group, proxies);
      expect(isEveryProxyGateway).toBe(false);
      expect([...byDataCentre.keys()].sort()).toEqual(["a", "b", "c"]);
      for (const gateways of byDataCentre.values()) {
        expect(gateways).toHaveLength(gatewaysPerDataCentre);
      }
    }),
    { seed },
  );
});

// A proxy stops. Only the groups that it held may move: all other gateways keep their connections and queues.
test("a proxy that leaves moves only the groups that it held", () => {
  fc.assert(
    fc.property(fleets, fc.nat(), fc.string(), (proxies, pick, name) => {
      const gone = proxies[pick % proxies.length]?.vm ?? "";
      const before = list(proxies, name);
      const after = list(
        proxies.filter(({ vm }) => vm !== gone),
        name,
      );
      const kept = before.filter((vm) => vm !== gone);
      expect(after).toEqual(expect.arrayContaining(kept));
      if (!before.includes(gone)) expect(after).toEqual(before);
    }),
    { seed },
  );
});

test("the order of the list of proxies makes no difference", () => {
  fc.assert(
    fc.property(fleets, (proxies) => {
      expect(list([...proxies].reverse()).sort()).toEqual([...list(proxies)].sort());
    }),
    { seed },
  );
});

test("a proxy with twice the processor power gets about four times the groups", () => {
  const proxies = Array.from({ length: 20 }, (_, i) => ({
    ...makeProxy(i, "a"),
    power: i < 2 ? 0.6 : 0.3,
  }));
  const names = Array.from({ length: 4000 }, (_, i) => `group-${i}`);
  const firsts = names.map((name) => list(proxies, name)[0]);
  const strong = firsts.filter((vm) => vm === "vm-0" || vm === "vm-1").length;
  // Two of 20 proxies with a weight of eight out of 26.
  expect(strong / names.length).toBeGreaterThan(0.27);
  expect(strong / names.length).toBeLessThan(0.35);
});

// An entry states a million cores, or a value that is not a valid number. Used unchecked, it would make its
// proxy the gateway of every group.
test.each([1e6, Number.NaN, -3, undefined])(
  "a proxy with a power of %p does not win all groups",
  (power) => {
    const proxies = Array.from({ length: 20 }, (_, i) => ({
      ...makeProxy(i, "a"),
      ...(i === 0 && power !== undefined ? { power } : {}),
    }));
    const names = Array.from({ length: 500 }, (_, i) => `group-${i}`);
    const firsts = names.map((name) => list(proxies, name)[0]);
    expect(firsts.filter((vm) => vm === "vm-0").length).toBeLessThan(400);
  },
);

test("a proxy that is marked as missed or accepts no statements is no gateway", () => {
  const proxies = Array.from({ length: 20 }, (_, i) => makeProxy(i, "a"));
  const [first = "", second = ""] = list(proxies);
  const changed = proxies.map((proxy): Proxy => {
    if (proxy.vm === first) return { ...proxy, isMissed: true };
    const { gateway, ...rest } = proxy;
    return proxy.vm === second || gateway === undefined ? rest : proxy;
  });
  expect(list(changed)).not.toContain(first);
  expect(list(changed)).not.toContain(second);
  expect(list(changed)).toHaveLength(gatewaysPerDataCentre);
});

test("every proxy is a gateway when proxies are few or connections suffice for all", () => {
  const proxies = Array.from({ length: 40 }, (_, i) => makeProxy(i, dataCentres[i % 4]));
  const plenty = chooseGateways({ ...group, connections: 80 }, proxies);
  const few = chooseGateways(group, proxies.slice(0, 9));
  expect([plenty.isEveryProxyGateway, few.isEveryProxyGateway]).toEqual([true, true]);
  expect(isGateway(few, "vm-8")).toBe(true);
});

// Guards against dozens of proxies that each admit to a target's few slots without knowing of each other.
test("where slots are planned a large fleet has chosen gateways even if connections suffice for all", () => {
  const proxies = Array.from({ length: 27 }, (_, i) => makeProxy(i, dataCentres[i % 4]));
  const plenty = { ...group, connections: 56 };
  const planned = chooseGateways(plenty, proxies, true);
  expect(planned.isEveryProxyGateway).toBe(false);
  expect([...planned.byDataCentre.values()].map((gateways) => gateways.length)).toEqual([2, 2, 2]);
  const listEvery = (isSlotPlanned: boolean) =>
    [12, 13].map((n) => chooseGateways(plenty, proxies.slice(0, n), isSlotPlanned));
  expect(listEvery(true).map((plan) => plan.isEveryProxyGateway)).toEqual([true, false]);
  expect(listEvery(false).map((plan) => plan.isEveryProxyGateway)).toEqual([true, true]);
  expect(chooseGateways(plenty, proxies).isEveryProxyGateway).toBe(true);
});

test("without proxies in the targets' data centres, others are gateways", () => {
  const proxies = Array.from({ length: 20 }, (_, i) => makeProxy(i, "d"));
  expect(list(proxies)).toHaveLength(gatewaysPerDataCentre);
});

test("a statement for the primary goes to its data centre, a read stays in its own", () => {
  const proxies = Array.from({ length: 20 }, (_, i) => makeProxy(i, dataCentres[i % 4]));
  const plan = chooseGateways(group, proxies);
  const query = {
    group: group.name,
    primaryDataCentre: "b",
    vm: "vm-x",
    dataCentre: "c",
    topology: singleRegion,
  };
  const order = (needsPrimary: boolean, dataCentre = "c") =>
    orderGateways(plan, { ...query, needsPrimary, dataCentre }).map((p) => p.dataCentre);
  expect(order(true)).toEqual(["b", "b", "c", "c", "a", "a"]);
  expect(order(false).slice(0, 2)).toEqual(["c", "c"]);
  expect(order(false, "d").slice(0, 4)).not.toContain("b");
});

test("the quota of listed proxies is what the smallest connection limit holds twice", () => {
  expect(countListedProxyQuota([{ connections: 37 }, { connections: 185 }], 4)).toBe(5);
  expect(countListedProxyQuota([{ connections: 16 }], 3)).toBe(3);
  expect(countListedProxyQuota([{ connections: 2 }], 4)).toBe(2);
  expect(countListedProxyQuota([], 4)).toBe(2);
});
