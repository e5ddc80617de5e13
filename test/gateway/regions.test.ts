import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { hashPair } from "../../src/policy/index.js";
import { chooseGateways } from "../../src/gateway/choose.js";
import { orderGateways, type RouteQuery } from "../../src/gateway/route.js";
import { GatewayRouter } from "../../src/gateway/router.js";
import { singleRegion, Topology } from "../../src/topology/index.js";
import { makeGroup, makeProxy } from "./builders.js";

const seed = 83;
const dataCentres = ["east-a", "east-b", "east-c", "west-a", "west-b", "west-c"];
const topology = new Topology(new Map(dataCentres.map((name) => [name, name.slice(0, 4)])));
const proxies = Array.from({ length: 36 }, (_, i) => makeProxy(i, dataCentres[i % 6]));
const everywhere = makeGroup({ connections: 8, dataCentres });
/** The targets of a group as deployed: two in one region, of which the first is the primary, one in the other. */
const group = makeGroup({ connections: 8, dataCentres: ["east-a", "east-b", "west-a"] });

const query: RouteQuery = {
  group: group.name,
  needsPrimary: false,
  primaryDataCentre: "east-a",
  vm: "vm-x",
  dataCentre: "west-a",
  topology,
};

/** The data centres of a group's gateways in order, each once. */
const order = (change: Partial<RouteQuery>, of = everywhere) => [
  ...new Set(
    orderGateways(chooseGateways(of, proxies), { ...query, ...change }).map((p) => p.dataCentre),
  ),
];

test("a read goes to its own data centre, then through its region, the primary's data centre last", () => {
  const fromB = order({ dataCentre: "east-b" });
  expect(fromB.slice(0, 3)).toEqual(["east-b", "east-c", "east-a"]);
  expect(order({ dataCentre: "east-a" })[0]).toBe("east-a");
  const fromWest = order({ dataCentre: "west-b" });
  expect(fromWest[0]).toBe("west-b");
  expect(new Set(fromWest.slice(1, 3))).toEqual(new Set(["west-a", "west-c"]));
  expect(fromWest[5]).toBe("east-a");
});

// A gateway of the node's own region would cross between regions a second time.
test("a statement for the primary goes to its data centre, then through its region", () => {
  const near = order({ needsPrimary: true, dataCentre: "east-c" });
  expect(near.slice(0, 3)).toEqual(["east-a", "east-c", "east-b"]);
  const far = order({ needsPrimary: true, dataCentre: "west-b" });
  expect(far[0]).toBe("east-a");
  expect(new Set(far.slice(1, 3))).toEqual(new Set(["east-b", "east-c"]));
  expect(far[3]).toBe("west-b");
});

test("without a known primary a statement stays near", () => {
  const found = order({ needsPrimary: true, primaryDataCentre: undefined, dataCentre: "west-b" });
  expect(found.slice(0, 3).every((name) => name?.startsWith("west"))).toBe(true);
});

test("a node in a data centre without a region uses each gateway once, its own data centre first", () => {
  const found = order({ dataCentre: "north-a" });
  expect(new Set(found)).toEqual(new Set(dataCentres));
  expect(found[5]).toBe("east-a");
});

// Lost: the one gateway data centre of the region. Its gateways are tried last, and reads are served elsewhere.
test("gateways that failed are tried after those of the other region", () => {
  const avoided = new Set<string>();
  const router = new GatewayRouter({
    vm: "vm-x",
    dataCentre: "west-b",
    topology,
    listProxies: () => proxies,
    findGroup: () => group,
    findLeader: () => ({ type: "serving", target: "t-0" }),
    isListed: () => false,
    isAvoided: (vm) => avoided.has(vm),
    onNoneAccepted: () => undefined,
  });
  const list = () =>
    router
      .listDestinations(group.name, false)
      .flatMap((found) => (found.type === "gateway" ? [found.gateway] : []));
  const before = list();
  expect(before.map((proxy) => proxy.dataCentre)).toEqual(["west-a", "west-a", "east-b"]);
  for (const proxy of before.slice(0, 2)) avoided.add(proxy.vm);
  expect(list().map((proxy) => proxy.dataCentre)).toEqual(["east-b", "east-b", "east-a"]);
});

// Guards deployments without regions: the order must be the one of the rule before regions, kept here.
test("without regions the order is that of data centres and hashes alone", () => {
  const rank = (centre: string, { needsPrimary, primaryDataCentre, dataCentre }: RouteQuery) => {
    if (needsPrimary && centre === primaryDataCentre) return 0;
    if (centre === dataCentre) return 1;
    return centre === primaryDataCentre ? 3 : 2;
  };
  const choices = fc.constantFrom(...dataCentres, "north-a");
  const oneRegion = new Topology(new Map(dataCentres.map((name) => [name, "east"])));
  fc.assert(
    fc.property(
      fc.boolean(),
      fc.option(choices, { nil: undefined }),
      choices,
      fc.string(),
      fc.constantFrom(singleRegion, oneRegion),
      (needsPrimary, primaryDataCentre, dataCentre, vm, without) => {
        const asked = { ...query, needsPrimary, primaryDataCentre, dataCentre, vm };
        const hash = (centre: string) => hashPair(`${group.name} ${centre}`, vm);
        const expected = [...dataCentres].sort(
          (a, b) => rank(a, asked) - rank(b, asked) || hash(a) - hash(b),
        );
        expect(order({ ...asked, topology: without })).toEqual(expected);
      },
    ),
    { seed },
  );
});
