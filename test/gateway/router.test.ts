import { expect, test } from "@jest/globals";
import type { PrimaryState } from "../../src/direct/index.js";
import { chooseGateways } from "../../src/gateway/choose.js";
import { GatewayRouter } from "../../src/gateway/index.js";
import { singleRegion } from "../../src/topology/index.js";
import { makeGroup, makeProxy } from "./builders.js";

const group = makeGroup({ connections: 16, dataCentres: ["a", "b"] });
const proxies = Array.from({ length: 20 }, (_, i) => makeProxy(i, i < 10 ? "a" : "b"));
const plan = chooseGateways(group, proxies);
/** The gateways of the primary's data centre, and one of the other. */
const [first = "", second = ""] = (plan.byDataCentre.get("a") ?? []).map(({ vm }) => vm);
const other = plan.byDataCentre.get("b")?.[0]?.vm ?? "";

interface Options {
  readonly leader?: PrimaryState;
  readonly avoided?: readonly string[];
  readonly count?: number;
}

/** Whether the gateway `vm` leaves reads that need the primary to another. */
function canRedirect(vm: string, options: Options = {}): boolean {
  const { leader = { type: "serving", target: "t-0" }, avoided = [], count = 20 } = options;
  const listed = proxies.slice(0, count);
  const router = new GatewayRouter({
    vm,
    dataCentre: "a",
    topology: singleRegion,
    listProxies: () => listed,
    findGroup: () => group,
    findLeader: () => leader,
    isListed: () => true,
    isAvoided: (name) => avoided.includes(name),
    onNoneAccepted: () => undefined,
  });
  return router.canRedirect("ledger");
}

test("reads that need the primary are left to the first gateway of its data centre", () => {
  expect(canRedirect(first)).toBe(false);
  expect(canRedirect(second)).toBe(true);
  expect(canRedirect(other)).toBe(true);
});

test("a gateway that fails is replaced by the second one, and both by nobody", () => {
  expect(canRedirect(other, { avoided: [first] })).toBe(true);
  expect(canRedirect(second, { avoided: [first] })).toBe(false);
  expect(canRedirect(other, { avoided: [first, second] })).toBe(false);
});

// Guards against a plan that is kept when a new configuration starts or stops planning slots.
test("a fleet with connections for all has chosen gateways only while slots are planned", () => {
  const plenty = makeGroup({ connections: 40, dataCentres: ["a", "b"] });
  let isSlotPlanned = false;
  const router = new GatewayRouter({
    vm: first,
    dataCentre: "a",
    topology: singleRegion,
    listProxies: () => proxies,
    findGroup: () => plenty,
    findLeader: () => ({ type: "serving", target: "t-0" }),
    isListed: () => true,
    isAvoided: () => false,
    isSlotPlanned: () => isSlotPlanned,
    onNoneAccepted: () => undefined,
  });
  const describe = () => [
    router.findHolding("ledger", "a").type,
    router.listGroupGateways("ledger").length,
  ];
  expect(describe()).toEqual(["equal", 20]);
  isSlotPlanned = true;
  expect(describe()).toEqual(["chosen", 4]);
  isSlotPlanned = false;
  expect(describe()).toEqual(["equal", 20]);
});

test("nothing is left to others while the primary is unknown, or where each proxy is a gateway", () => {
  const changing = { type: "changing", readyInMs: 100, reason: "a change" } as const;
  expect(canRedirect(other, { leader: changing })).toBe(false);
  expect(canRedirect(other, { leader: { type: "serving", target: "t-9" } })).toBe(false);
  expect(canRedirect("vm-1", { count: 12 })).toBe(false);
});
