import { expect, test } from "@jest/globals";
import {
  noMajorityWaitMs,
  permitMs,
  type PeerResult,
  type Proxy,
} from "../../src/leadership/index.js";
import { makeProxy } from "../gateway/builders.js";
import { LeadershipFixture } from "./fixture.js";

type CallOutcome = PeerResult<never>["type"];

/** Makes a group whose primary fails, seen by the proxy `a`, with other proxies in the given states. */
function createGroup(...states: readonly CallOutcome[]) {
  const fixture = new LeadershipFixture();
  const received = { term: { round: 1, vm: "" }, offset: 4 };
  const report = { role: "replica", received, round: 1, lagMs: 0 } as const;
  fixture.replicaAnswer = { type: "report", report };
  const own: Proxy = { ...makeProxy(0), vm: "a" };
  const others = states.map((_, i) => makeProxy(i + 1));
  fixture.proxies = [own, ...others];
  states.forEach((state, i) => fixture.states.set(`vm-${i + 1}`, state));
  const { changer, tracker } = fixture.makeProxy("a");
  tracker.noteProbeResult("ledger", "i-0", 0, false);
  fixture.clock.time = 400;
  const checkFor = (ms: number) => fixture.checkFor(changer, ms);
  return { fixture, checkFor };
}

const listEvents = (fixture: LeadershipFixture) => fixture.logLines.map(({ event }) => event.name);

// A proxy that hears from no majority may be the one that is cut off, also where the others refuse connections.
test("proxies that do not answer keep an unreachable primary from being replaced", async () => {
  const { fixture, checkFor } = createGroup("silent", "silent", "silent", "answered");
  await checkFor(2000);
  expect(fixture.promoted).toEqual([]);
  expect(listEvents(fixture)).toContain("primaryKept");
});

// Most proxies are killed with the primary: once they answer as new processes, nothing is waited for any more.
test("an unreachable primary is replaced as soon as the proxies are back", async () => {
  const { fixture, checkFor } = createGroup("silent", "silent", "silent", "answered");
  await checkFor(2000);
  for (const { vm } of fixture.proxies) fixture.states.set(vm, "answered");
  await checkFor(2 * permitMs);
  expect(fixture.promoted).toEqual(["i-1"]);
});

// They stay away: the primary's entry expires, and no permit is left when the longest wait is over.
test("the only proxy that is left replaces a primary whose entry has expired", async () => {
  const { fixture, checkFor } = createGroup("silent", "silent", "silent");
  fixture.isPrimaryListed = false;
  await checkFor(noMajorityWaitMs - 500);
  expect(fixture.promoted).toEqual([]);
  await checkFor(3000);
  expect(fixture.promoted).toEqual(["i-1"]);
});

// A proxy that has ended stays listed; each later change would try to reach it, and a live one could not take its place.
test("proxies that do not answer a change are marked as missed, others are not", async () => {
  const { fixture, checkFor } = createGroup("silent", "answered", "answered");
  await checkFor(permitMs / 2);
  expect(fixture.promoted).toEqual([]);
  await checkFor(permitMs);
  expect(fixture.promoted).toEqual(["i-1"]);
  const received = { term: { round: 2, vm: "" }, offset: 4 };
  const report = { role: "primary", received, round: 2, lagMs: 0 } as const;
  fixture.replicaAnswer = { type: "report", report };
  await checkFor(permitMs);
  expect(fixture.missed).toEqual(["vm-1"]);
});

// An unknown proxy may exist while the list can't be read, and a listed one may run at another address.
test("a change without a current list waits for the permits of proxies that it does not know", async () => {
  const { fixture, checkFor } = createGroup("answered", "answered", "answered");
  fixture.isProxyListReadable = false;
  await checkFor(permitMs);
  expect(fixture.promoted).toEqual([]);
  await checkFor(permitMs);
  expect(fixture.promoted).toEqual(["i-1"]);
});

// Guards the costs: the repeated notifications go only to proxies that have not answered.
test("a proxy that answers gets no more calls than it gets where all proxies answer", async () => {
  const countCalls = async (second: CallOutcome) => {
    const { fixture, checkFor } = createGroup("answered", second);
    await checkFor(2 * permitMs);
    expect(fixture.promoted).toEqual(["i-1"]);
    return fixture.calls.filter((vm) => vm === "vm-1").length;
  };
  expect(await countCalls("silent")).toBe(await countCalls("answered"));
});
