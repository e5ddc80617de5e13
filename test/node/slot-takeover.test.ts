import { afterEach, expect, test } from "@jest/globals";
import { GroupDirectory } from "../../src/direct/index.js";
import type { Proxy } from "../../src/leadership/index.js";
import { silentLogger } from "../../src/log/index.js";
import { DisposableStore } from "../../src/model/index.js";
import { Forwarding } from "../../src/node/forwarding.js";
import { createSystemClock } from "../../src/system/index.js";
import { singleRegion, Topology } from "../../src/topology/index.js";
import { group, ProxyFixture, type FixtureOptions } from "../direct/fixture.js";
import { makeRandom } from "../fleet/fakes.js";
import { makeProxy } from "../gateway/builders.js";
import { findAddress, waitUntil } from "./cluster.js";

let owned = new DisposableStore();

afterEach(async () => {
  await owned.dispose();
  owned = new DisposableStore();
});

const slots = 3;
const twoRegions = new Topology(
  new Map([
    ["a", "south"],
    ["z", "north"],
  ]),
);

/** The forwarding of one gateway with its share of the slots of the target `p`. */
async function startGateway(
  proxy: Proxy,
  proxies: readonly Proxy[],
  topology: Topology,
  options: FixtureOptions = {},
) {
  const fixture = new ProxyFixture({ slots, isSlotPlanned: topology.hasRegions, ...options });
  const config = fixture.ports.getServingConfig();
  const forwarding = new Forwarding({
    settings: { vm: proxy.vm, dataCentre: "a", topology, gateway: proxy.gateway },
    clock: createSystemClock(),
    random: makeRandom(1),
    logger: silentLogger,
    listProxies: () => proxies,
    isListed: () => true,
    isLeaving: () => false,
    isPermitted: () => true,
    listGroups: () => [group],
    findGroup: (name) => config.groups.get(name),
    getServingConfig: () => config,
    findLeader: () => ({ type: "serving", target: "p" }),
    onNoneAccepted: () => undefined,
    grantTokens: () => ({ tokens: 0, lifeMs: 0 }),
    onEntryRefused: () => undefined,
  });
  const ports = {
    ...fixture.ports,
    isSlotPlanned: () => forwarding.isSlotPlanned(config),
    findShareRule: (name: string, dataCentre: string) => forwarding.findShareRule(name, dataCentre),
  };
  const groups = new GroupDirectory(ports);
  for (const item of [forwarding, groups, fixture]) owned.add(item);
  groups.update(config);
  await forwarding.listen(ports, groups);
  forwarding.updateSlotPlan(config);
  const getSlots = () => groups.find(group)?.listCandidates("")[0]?.slots;
  return { proxy, forwarding, getSlots };
}

async function startGateways(topology: Topology) {
  const near = [
    { ...makeProxy(100), gateway: await findAddress() },
    { ...makeProxy(101), gateway: await findAddress() },
  ];
  const far = Array.from({ length: 16 }, (_, i) => makeProxy(i, "z"));
  const proxies = [...near, ...far];
  const gateways = await Promise.all(near.map((proxy) => startGateway(proxy, proxies, topology)));
  return { gateways, proxies };
}

// Guards against a lost gateway whose slots no other one uses, and against two that use them for good.
test("a node takes over the slots of a gateway that ends, until that one is back", async () => {
  const { gateways, proxies } = await startGateways(twoRegions);
  const first = gateways.find(({ getSlots }) => getSlots() === slots + 1);
  const second = gateways.find((gateway) => gateway !== first);
  if (first === undefined || second === undefined) throw new Error("no gateway acts");
  expect(second.getSlots()).toBe(1);
  await new Promise((resolve) => setTimeout(resolve, 500));
  expect(second.getSlots()).toBe(1);
  await first.forwarding.dispose();
  await waitUntil(() => second.getSlots() === slots + 1);
  const restarted = await startGateway(first.proxy, proxies, twoRegions);
  expect(restarted.getSlots()).toBe(slots + 1);
  await waitUntil(() => second.getSlots() === 1);
});

// Guards against a fleet whose configuration plans slots while its router still makes each proxy a gateway.
test.each([
  { topology: twoRegions, type: "chosen" },
  { topology: singleRegion, type: "equal" },
])("with connections for all, a node's share is $type", async ({ topology, type }) => {
  const proxies = Array.from({ length: 18 }, (_, i) => makeProxy(i));
  const [own] = proxies;
  if (own === undefined) throw new Error("a proxy is needed");
  const proxy = { ...own, power: 2, gateway: await findAddress() };
  const listed = [proxy, ...proxies.slice(1)];
  const { forwarding } = await startGateway(proxy, listed, topology, { connections: 56 });
  expect(forwarding.findShareRule(group, "a").type).toBe(type);
});

// Guards against checks of other gateways and changed shares where slots are not planned.
test("without planned slots no gateway takes over", async () => {
  const { gateways } = await startGateways(singleRegion);
  const before = gateways.map(({ getSlots }) => getSlots());
  await gateways[0]?.forwarding.dispose();
  await new Promise((resolve) => setTimeout(resolve, 600));
  expect(gateways.map(({ getSlots }) => getSlots())).toEqual(before);
  expect(before).not.toContain(slots + 1);
});
