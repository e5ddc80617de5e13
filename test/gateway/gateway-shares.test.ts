import { expect, test } from "@jest/globals";
import type { ReadOutcome } from "../../src/gateway/gateway-share.js";
import { GatewayRouter, GatewayShares } from "../../src/gateway/index.js";
import type { Proxy } from "../../src/leadership/index.js";
import { singleRegion } from "../../src/topology/index.js";
import { FakeClock } from "../fleet/fakes.js";
import { makeGroup, makeProxy } from "./builders.js";

const first = makeProxy(0, "a");
const second = makeProxy(1, "a");
const far = makeProxy(2, "b");
const complete: ReadOutcome = { type: "complete" };
const redirected: ReadOutcome = { type: "redirected" };
const refused: ReadOutcome = { type: "error", code: "busy" };

function createShares(options: { readonly vm?: string; readonly isSlotPlanned?: boolean } = {}) {
  const clock = new FakeClock();
  const stage = { clock, draw: 0, lines: [] as unknown[] };
  const shares = new GatewayShares({
    vm: options.vm ?? "vm-entry",
    clock,
    random: { draw: () => stage.draw },
    logger: { write: (event, fields) => stage.lines.push([event.name, fields]) },
    isSlotPlanned: () => options.isSlotPlanned !== false,
  });
  const record = ({ vm }: Proxy, elapsedMs: number, outcome = complete) =>
    shares.record({ group: "ledger", gateway: vm, outcome, elapsedMs, givenMs: 800 });
  const runSeconds = (seconds: number, firstMs: number, outcome = complete) => {
    for (let i = 0; i < seconds * 10; i += 1) {
      clock.time += 100;
      record(first, firstMs, outcome);
      record(second, 20);
    }
  };
  return { stage, shares, record, runSeconds };
}

const list = (shares: GatewayShares, gateways = [first, second, far]) =>
  shares.order("ledger", gateways).map(({ vm }) => vm);

test("a slow gateway's share falls to one in ten and is restored, with one line for each", () => {
  const { stage, shares, runSeconds } = createShares();
  list(shares);
  runSeconds(5, 20);
  expect(shares.list()).toEqual([{ gateway: "vm-0", share: 0.98 }]);
  runSeconds(10, 200);
  expect(shares.list()[0]?.share).toBeCloseTo(0.1);
  stage.draw = 0.89;
  expect(list(shares)).toEqual(["vm-1", "vm-0", "vm-2"]);
  stage.draw = 0.91;
  expect(list(shares)).toEqual(["vm-0", "vm-1", "vm-2"]);
  runSeconds(90, 20);
  expect(shares.list()[0]?.share).toBeGreaterThan(0.95);
  const fields = { group: "ledger", gateway: "vm-0", other: "vm-1", otherMs: 20 };
  expect(stage.lines).toEqual([
    ["gatewayShareReduced", expect.objectContaining(fields)],
    ["gatewayShareRestored", { ...fields, ms: 20 }],
  ]);
});

// The other gateway has no recent log position and redirects what it is sent. A tenth of all reads would then take a
// second hop and a slot at the primary.
test("a gateway of which nothing is known gets one read a second at most", () => {
  const { stage, shares, record } = createShares();
  expect(list(shares)[0]).toBe("vm-1");
  stage.clock.time += 999;
  expect(list(shares)[0]).toBe("vm-0");
  stage.clock.time += 1;
  expect(list(shares)[0]).toBe("vm-1");
  record(second, 20);
  expect([list(shares)[0], list(shares)[0]]).toEqual(["vm-1", "vm-1"]);
});

// The gateway has no replica that is fresh enough, while the preferred one has. With redirects left out it would stay
// unknown, and get one read a second for as long.
test("the other gateway gets no read for 1 s after a redirect, and few after that", () => {
  const { stage, shares, record, runSeconds } = createShares();
  list(shares);
  runSeconds(2, 20);
  stage.clock.time += 100;
  record(second, 2, redirected);
  expect(list(shares)[0]).toBe("vm-0");
  stage.clock.time += 999;
  expect(list(shares)[0]).toBe("vm-0");
  stage.clock.time += 1;
  stage.draw = 0.003;
  expect(list(shares)[0]).toBe("vm-0");
  stage.draw = 0.001;
  expect(list(shares)[0]).toBe("vm-1");
});

test("redirects by the preferred gateway move no reads", () => {
  const { shares, runSeconds } = createShares();
  list(shares);
  runSeconds(10, 2, redirected);
  expect(shares.list()[0]?.share).toBeGreaterThan(0.97);
});

test("a gateway that refuses its reads at once loses them", () => {
  const { shares, runSeconds } = createShares();
  list(shares);
  runSeconds(10, 1, refused);
  expect(shares.list()[0]?.share).toBeCloseTo(0.1);
});

test("nothing is measured or moved where slots are not planned", () => {
  const { shares, runSeconds } = createShares({ isSlotPlanned: false });
  expect(list(shares)).toEqual(["vm-0", "vm-1", "vm-2"]);
  runSeconds(10, 200);
  expect(list(shares)).toEqual(["vm-0", "vm-1", "vm-2"]);
  expect(shares.list()).toEqual([]);
});

// Gateways elsewhere are farther away, and this process measures no statements that it runs itself.
test("reads move neither to another data centre nor from or to this process", () => {
  const { shares } = createShares();
  expect(list(shares, [first, far, second])).toEqual(["vm-0", "vm-2", "vm-1"]);
  for (const vm of [first.vm, second.vm])
    expect(list(createShares({ vm }).shares)).toEqual(["vm-0", "vm-1", "vm-2"]);
  expect(list(shares, [])).toEqual([]);
});

// A gateway was lost, and another takes its place. What was measured of the lost one says nothing of that.
test("a pair of other gateways starts without a reduced share", () => {
  const { stage, shares, runSeconds } = createShares();
  list(shares);
  runSeconds(10, 200);
  const successor = makeProxy(3, "a");
  stage.draw = 0.5;
  expect(list(shares, [first, successor, far])[0]).toBe("vm-0");
  expect(shares.list()).toEqual([{ gateway: "vm-0", share: 1 }]);
});

// The data centre has a single gateway left, so that its reads are not divided any more. The metric would name the
// lost gateway, and its reduced share, for as long as the process runs.
test("a group that is not divided any more is forgotten after a minute", () => {
  const { stage, shares, runSeconds } = createShares();
  list(shares);
  runSeconds(10, 200);
  for (let i = 0; i < 61; i += 1) {
    expect(shares.list()).toHaveLength(1);
    stage.clock.time += 1000;
    list(shares, [second, far]);
  }
  expect(shares.list()).toEqual([]);
});

// A read of before the change is answered after it, by a gateway that is in no pair any more.
test("an answer of a gateway that is no longer used is ignored", () => {
  const { shares, record } = createShares();
  record(first, 20);
  list(shares);
  record(far, 20);
  expect(shares.list()).toEqual([{ gateway: "vm-0", share: 1 }]);
});

// Statements for the primary have to reach the gateway that has its slots, and those that left a region the others.
test("the router divides only reads that stay near", () => {
  const group = makeGroup({ connections: 8, dataCentres: ["a", "b"] });
  const proxies = Array.from({ length: 20 }, (_, i) => makeProxy(i, i % 2 === 0 ? "a" : "b"));
  const ordered: (readonly string[])[] = [];
  const router = new GatewayRouter({
    vm: "vm-entry",
    dataCentre: "a",
    topology: singleRegion,
    listProxies: () => proxies,
    findGroup: () => group,
    findLeader: () => ({ type: "serving", target: "t-1" }),
    isListed: () => false,
    isAvoided: () => false,
    isSlotPlanned: () => true,
    orderReads: (name, gateways) => {
      ordered.push([name, ...gateways.map(({ dataCentre }) => dataCentre ?? "")]);
      return [...gateways].reverse();
    },
    onNoneAccepted: () => undefined,
  });
  const listCentres = (needsPrimary: boolean, left?: string, isDivided = true) =>
    router
      .listDestinations("ledger", needsPrimary, left, isDivided)
      .map((found) => (found.type === "gateway" ? found.gateway.dataCentre : "local"));
  expect(listCentres(true)).toEqual(["b", "b", "a"]);
  expect(listCentres(false, "b")).toEqual(["a", "a", "b"]);
  expect(listCentres(false, undefined, false)).toEqual(["a", "a", "b"]);
  expect(ordered).toEqual([]);
  expect(listCentres(false)).toEqual(["b", "b", "a"]);
  expect(ordered).toEqual([["ledger", "a", "a", "b", "b"]]);
});
