import { expect, test } from "@jest/globals";
import type { PeerResult } from "../../src/leadership/index.js";
import { makeProxy } from "../gateway/builders.js";
import { LeadershipFixture } from "./fixture.js";

/** A group that the proxy `vm-1` was changing when its process ended or fell silent; `a` has just read of it. */
function createGroup(state: PeerResult<never>["type"], holder = "vm-1") {
  const fixture = new LeadershipFixture();
  const received = { term: { round: 1, vm: "" }, offset: 4 };
  const report = { role: "replica", received, round: 1, lagMs: 0 } as const;
  fixture.replicaAnswer = { type: "report", report };
  fixture.proxies = [{ ...makeProxy(0), vm: "a" }, makeProxy(1), makeProxy(2)];
  fixture.states.set("vm-1", state);
  fixture.states.set("vm-2", "answered");
  const entry = { type: "changing", round: 1, from: "i-0" } as const;
  const document = { holder: { vm: holder, incarnation: "earlier" }, groups: { ledger: entry } };
  fixture.stored = { version: 5, document };
  const { changer, tracker } = fixture.makeProxy("a");
  tracker.adopt({ leadership: fixture.stored, promoted: [] });
  const checkFor = (ms: number) => fixture.checkFor(changer, ms);
  return { fixture, checkFor };
}

// A holder that is cut off refuses connections and may still send its orders: they would come after a successor's.
test("the change of a proxy that does not answer is taken over only when its lease is over", async () => {
  const { fixture, checkFor } = createGroup("silent");
  await checkFor(4500);
  expect(fixture.promoted).toEqual([]);
  await checkFor(4000);
  expect(fixture.promoted).toEqual(["i-1"]);
});

// Only one process runs on a machine, so that the holder it finds there has ended.
test("a restarted proxy takes over its own earlier change", async () => {
  const { fixture, checkFor } = createGroup("answered", "a");
  await checkFor(3000);
  expect(fixture.promoted).toEqual(["i-1"]);
});

// The platform may still be carrying out the last order of the process before, which would come after one of this.
test("a restarted proxy does not take over while its last order may be under way", async () => {
  const { fixture, checkFor } = createGroup("answered", "a");
  await checkFor(1400);
  expect(fixture.promoted).toEqual([]);
});
