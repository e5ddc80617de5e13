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
  changer.checkGroups();
  return fixture;
}

const listEvents = (fixture: LeadershipFixture) => fixture.logLines.map(({ event }) => event.name);

// A primary and more than half of the proxies are killed together. If the killed proxies counted as silent, the
// primary would be kept while they are down, and all statements of its group that need it would be refused.
test("a primary is replaced although more than half of the proxies have ended", async () => {
  const fixture = createGroup("ended", "ended", "ended", "answered");
  await fixture.clock.advance(permitMs / 2);
  expect(fixture.promoted).toEqual(["i-1"]);
  expect(fixture.endedCount).toBe(3);
  expect(listEvents(fixture)).toContain("proxiesEnded");
});

test("the only proxy that has not ended replaces a primary at once", async () => {
  const fixture = createGroup("ended", "ended", "ended");
  await fixture.clock.advance(permitMs / 2);
  expect(fixture.promoted).toEqual(["i-1"]);
});

// Proxies behind a partition are silent too. Ended proxies must not help the minority side to a decision.
test("ended proxies do not outweigh silent ones", async () => {
  const fixture = createGroup("ended", "ended", "silent");
  await fixture.clock.advance(2000);
  expect(fixture.promoted).toEqual([]);
  expect(listEvents(fixture)).toContain("primaryKept");
});

// An ended proxy stays listed; each later change would try to reach it, and a live one could not take its place.
test("proxies that have ended are marked as missed, live ones are not", async () => {
  const fixture = createGroup("ended", "ended", "answered");
  await fixture.clock.advance(permitMs / 2);
  const received = { term: { round: 2, vm: "" }, offset: 4 };
  const report = { role: "primary", received, round: 2, lagMs: 0 } as const;
  fixture.replicaAnswer = { type: "report", report };
  await fixture.clock.advance(permitMs);
  expect([...fixture.missed].sort()).toEqual(["vm-1", "vm-2"]);
});

// Without a current list a proxy may run at another address than the one that refuses connections. Reported as ended,
// it would send operators to search for a rejecting firewall, which is the documented cause of a false report.
test("proxies on an outdated list are not reported as ended", async () => {
  const fixture = createGroup("ended", "ended", "answered");
  fixture.isProxyListReadable = false;
  await fixture.clock.advance(2 * noMajorityWaitMs);
  expect(fixture.promoted).toContain("i-1");
  expect(listEvents(fixture)).not.toContain("proxiesEnded");
  expect(fixture.endedCount).toBe(0);
});

// Guards the costs: evidence of an end must come from calls that are made anyway.
test("a proxy that answers gets no more calls than it gets where no proxy has ended", async () => {
  const countCalls = async (second: CallOutcome) => {
    const fixture = createGroup("answered", second);
    await fixture.clock.advance(permitMs);
    expect(fixture.promoted).toEqual(["i-1"]);
    return fixture.calls.filter((vm) => vm === "vm-1").length;
  };
  expect(await countCalls("ended")).toBe(await countCalls("answered"));
});
