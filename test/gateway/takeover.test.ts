import { afterEach, expect, test } from "@jest/globals";
import { GatewayConnections, GatewayRouter, SlotTakeover } from "../../src/gateway/index.js";
import { chooseGateways } from "../../src/gateway/choose.js";
import { orderSlotGateways } from "../../src/gateway/slot-order.js";
import { GatewayWatch } from "../../src/gateway/watch.js";
import type { Proxy } from "../../src/leadership/index.js";
import { silentLogger } from "../../src/log/index.js";
import { DisposableStore } from "../../src/model/index.js";
import { createSystemClock } from "../../src/system/index.js";
import { singleRegion, Topology } from "../../src/topology/index.js";
import { waitUntil } from "../node/cluster.js";
import { makeGroup, makeProxy } from "./builders.js";
import { Hop } from "./hop.js";

let owned = new DisposableStore();

afterEach(async () => {
  await owned.dispose();
  owned = new DisposableStore();
});

/** The longest time in which a lost gateway's slots are taken over, in milliseconds. */
const takeoverMs = 500;
/** What a timer may be late on a machine that runs other tests, in milliseconds. */
const timerToleranceMs = 150;

/** Proxies enough for statements to be forwarded, in a data centre without targets. */
const others = Array.from({ length: 16 }, (_, i) => makeProxy(i, "z"));

interface RouterOptions {
  readonly vm: string;
  readonly dataCentre: string;
  readonly proxies: readonly Proxy[];
  readonly dataCentres?: readonly string[];
  readonly topology?: Topology;
  readonly isLost?: (vm: string) => boolean;
}

function makeRouter({ vm, dataCentre, proxies, dataCentres = ["a"], ...rest }: RouterOptions) {
  const group = makeGroup({ connections: 16, dataCentres });
  const { topology = singleRegion, isLost = () => false } = rest;
  return new GatewayRouter({
    vm,
    dataCentre,
    topology,
    listProxies: () => proxies,
    findGroup: () => group,
    findLeader: () => ({ type: "serving", target: "t-0" }),
    isListed: () => true,
    isAvoided: () => false,
    isLost,
    onNoneAccepted: () => undefined,
  });
}

const isActing = (router: GatewayRouter, dataCentre = "a"): boolean => {
  const rule = router.findHolding("ledger", dataCentre);
  return rule.type === "chosen" && rule.isActing === true;
};

/** The second of two gateways, with a faulty link to the first. */
async function startSecond(isSlotPlanned = true) {
  const hop = await Hop.start(2, { isSlotPlanned });
  owned.add(hop);
  const near = hop.gateways.map(({ vm, link }) => ({
    ...makeProxy(90),
    vm,
    gateway: link.address,
  }));
  const proxies = [...near, ...others];
  const order = near.map(({ vm }) => ({
    vm,
    router: makeRouter({ vm, dataCentre: "a", proxies }),
  }));
  const first = order.find(({ router }) => isActing(router))?.vm;
  const second = near.find(({ vm }) => vm !== first);
  const firstGateway = hop.gateways.find(({ vm }) => vm === first);
  if (second === undefined || firstGateway === undefined) throw new Error("no gateway acts");
  const clock = createSystemClock();
  const connections = owned.add(new GatewayConnections({ clock, logger: silentLogger }));
  const takeover: SlotTakeover = owned.add(
    new SlotTakeover({
      connections,
      getRouter: () => router,
      listGroups: () => ["ledger"],
      onChecked: () => {
        wasActing = isActing(router);
      },
    }),
  );
  let wasActing = false;
  const router = makeRouter({
    vm: second.vm,
    dataCentre: "a",
    proxies,
    isLost: (vm) => takeover.isLost(vm),
  });
  takeover.setRunning(true);
  return { firstGateway, connections, getActing: () => wasActing };
}

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

// Guards against a target whose slots nobody uses after the loss of its first gateway.
test.each(["killed", "cut off", "refusing"] as const)(
  "the second gateway takes over when the first is %s, and gives back when it serves",
  async (fault) => {
    const { firstGateway, getActing } = await startSecond();
    await sleep(400);
    expect(getActing()).toBe(false);
    const lostAt = performance.now();
    if (fault === "killed") firstGateway.link.setRefusing(true);
    else if (fault === "cut off") firstGateway.link.setFlow("hold", "hold");
    else firstGateway.refusal = "this node is leaving";
    await waitUntil(getActing);
    expect(performance.now() - lostAt).toBeLessThan(takeoverMs + timerToleranceMs);
    // It does not give the slots back before the first gateway answers.
    for (let i = 0; i < 10; i += 1) {
      await sleep(100);
      expect(getActing()).toBe(true);
    }
    firstGateway.link.setRefusing(false);
    firstGateway.link.setFlow("pass", "pass");
    firstGateway.refusal = undefined;
    await waitUntil(() => !getActing());
  },
);

// Guards against a takeover for each refused statement of a team that the first gateway does not know yet.
test("refusals between answers make no takeover, repeated ones without an answer do", async () => {
  const { firstGateway, connections, getActing } = await startSecond();
  const { vm } = firstGateway;
  await sleep(300);
  for (let i = 0; i < 12; i += 1) {
    connections.recordFailure(vm, "the team is unknown to this gateway");
    await sleep(50);
    expect(getActing()).toBe(false);
    connections.recordAnswer(vm);
  }
  connections.recordFailure(vm, "this node is leaving");
  await waitUntil(() => !connections.isAvoided(vm));
  connections.recordFailure(vm, "this node is leaving");
  await waitUntil(getActing);
});

// Guards against a changed message where slots are not planned, or by a gateway of a build before.
test("a refusing gateway that does not plan slots answers pings as before", async () => {
  const { firstGateway, getActing } = await startSecond(false);
  firstGateway.refusal = "this node is leaving";
  await sleep(600);
  expect(getActing()).toBe(false);
});

const dataCentres = ["a", "b", "c"];
const regions = new Topology(
  new Map([
    ["a", "south"],
    ["b", "south"],
    ["c", "north"],
    ["z", "south"],
  ]),
);
const fleet = [
  ...dataCentres.flatMap((centre, i) => [
    makeProxy(100 + 2 * i, centre),
    makeProxy(101 + 2 * i, centre),
  ]),
  ...others,
];

const regionGroup = makeGroup({ connections: 16, dataCentres });

/** Lists which gateways use the slots of a target, if each knows the same ones to be lost. */
function listActing(centre: string, lost: ReadonlySet<string>): readonly Proxy[] {
  return fleet.filter(({ vm, dataCentre = "" }) => {
    const isLost = (name: string) => lost.has(name);
    return isActing(
      makeRouter({ vm, dataCentre, proxies: fleet, dataCentres, topology: regions, isLost }),
      centre,
    );
  });
}

// Guards against two gateways that both use a target's slots, and against none that does.
test("exactly one gateway acts for a target, the nearest one that is not lost", () => {
  const lost = new Set<string>();
  const order: (string | undefined)[] = [];
  for (let i = 0; i < 2 * dataCentres.length; i += 1) {
    const acting = listActing("b", lost);
    expect(acting).toHaveLength(1);
    order.push(acting[0]?.dataCentre);
    lost.add(acting[0]?.vm ?? "");
  }
  expect(order).toEqual(["b", "b", "a", "a", "c", "c"]);
  expect(listActing("b", lost)).toEqual([]);
});

// Guards against control traffic between all gateways, and over the narrow link between regions.
test("a gateway watches the one before it, and none of another region", () => {
  const lost = new Set<string>();
  const listWatched = ({ vm, dataCentre = "" }: Proxy) => {
    const isLost = (name: string) => lost.has(name);
    const options = { vm, dataCentre, proxies: fleet, dataCentres, topology: regions, isLost };
    return makeRouter(options).listWatched("ledger");
  };
  const [first, second, third] = orderSlotGateways(
    chooseGateways(regionGroup, fleet),
    "c",
    regions,
  );
  if (first === undefined || second === undefined || third === undefined)
    throw new Error("no order");
  for (const proxy of fleet) {
    const watched = new Set(listWatched(proxy));
    expect(watched.size).toBeLessThanOrEqual(dataCentres.length);
    for (const { dataCentre = "" } of watched) {
      expect(regions.measureDistance(proxy.dataCentre ?? "", dataCentre)).not.toBe("remote");
    }
  }
  expect(new Set(listWatched(second).map(({ vm }) => vm))).toEqual(new Set([first.vm]));
  expect(listWatched(third).map(({ vm }) => vm)).not.toContain(first.vm);
});

/** A connection whose answers the test gives. */
function makeConnection() {
  const connection = {
    receivedCount: 0,
    isServing: true,
    pings: 0,
    isClosed: false,
    ping: () => (connection.pings += 1),
    closeIfUnused: () => (connection.isClosed = true),
  };
  return connection;
}

// Guards against a gateway that counts as lost after one late answer, and one that never counts as lost.
test("a gateway is lost after three unanswered checks and alive with the next answer", () => {
  let connection = makeConnection();
  const answers: string[] = [];
  const watch = new GatewayWatch({
    open: () => (connection.isClosed ? (connection = makeConnection()) : connection),
    onAnswer: (vm) => answers.push(vm),
  });
  const proxy = makeProxy(1);
  watch.check([proxy]);
  connection.receivedCount += 1;
  for (const isLost of [false, false, false, true]) {
    watch.check([proxy]);
    expect(watch.isLost(proxy.vm)).toBe(isLost);
  }
  // Its connection may carry idle transactions, and is closed only after 20 checks.
  for (let i = 0; i < 16; i += 1) watch.check([proxy]);
  expect(connection.isClosed).toBe(false);
  watch.check([proxy]);
  expect(connection.isClosed).toBe(true);
  for (let i = 0; i < 5; i += 1) watch.check([proxy]);
  expect(connection.isClosed).toBe(false);
  expect(watch.isLost(proxy.vm)).toBe(true);
  connection.receivedCount += 1;
  watch.check([proxy]);
  expect(watch.isLost(proxy.vm)).toBe(false);
  expect(answers).toEqual([proxy.vm]);
  watch.check([]);
  expect(watch.isLost(proxy.vm)).toBe(false);
});
