import { afterEach, expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  applyMembershipEvent,
  buildProbeOrder,
  createMembershipState,
  type MembershipEvent,
} from "../../src/controller/membership/index.js";
import { FakeClock, FakeNetwork, FakeStore, makeVm } from "./fakes.js";
import { MembershipFixture } from "./membership-fixture.js";

const names = ["a", "b", "c", "d", "e", "f", "g"];
const all = names.join(" ");
const without = (...removed: string[]) => names.filter((n) => !removed.includes(n)).join(" ");
const open: MembershipFixture[] = [];

const makeFleet = () => {
  const [store, network, clock] = [new FakeStore(), new FakeNetwork(), new FakeClock()];
  const vms = names.map((name, i) => makeVm(name, `dc${i % 3}`, i + 1));
  const members = new MembershipFixture({ store, network, clock }, vms);
  open.push(members);
  return { store, network, clock, members };
};

afterEach(() => {
  for (const members of open.splice(0)) members.stopAll();
});

// A VM crashes while the platform lists it as live for minutes. The first VM that probes it asks
// others to probe it, suspects it, tells the rest, and then considers it down.
// When it restarts under the same name, it has a new incarnation and is live at once.
test("a crashed VM is down on all within seconds, whatever the list says, and can come back", async () => {
  const { clock, members } = makeFleet();
  await members.startAll();
  await clock.advance(5000);
  members.stop("c");
  await clock.advance(15_000);
  for (const name of names.filter((n) => n !== "c"))
    expect(members.listLiveNames(name)).toBe(without("c"));
  await members.start("c");
  await clock.advance(15_000);
  for (const name of names) expect(members.listLiveNames(name)).toBe(all);
});

// In a fleet too large to probe all VMs, each VM probes only a few, on connections that stay open.
// Each must be probed by the same number of others, and news must reach all VMs within few hops.
test("in a large fleet each VM is probed by log2(n) others and news reaches all VMs", () => {
  const vms = Array.from({ length: 500 }, (_, i) => makeVm(`vm${i}`, "dc1", i));
  const probeOrders = vms.map((self) => {
    const state = createMembershipState(self, "1.0", 0);
    const applied = applyMembershipEvent(state, { type: "listed", now: 0, vms });
    return buildProbeOrder(applied.type === "applied" ? applied.state : state);
  });
  const probed = probeOrders
    .flat()
    .reduce((n, name) => n.set(name, (n.get(name) ?? 0) + 1), new Map<string, number>());
  expect(new Set(probed.values())).toEqual(new Set([9]));
  const probeOrderOf = new Map(vms.map((vm, i) => [vm.name, probeOrders[i] ?? []]));
  let reached = new Set(["vm0"]);
  for (let hop = 0; hop < 9; hop++) {
    reached = new Set([
      ...reached,
      ...[...reached].flatMap((name) => probeOrderOf.get(name) ?? []),
    ]);
  }
  expect(reached.size).toBe(500);
});

test("a VM that one observer can't reach stays live as indirect probes reach it", async () => {
  const { clock, members, network } = makeFleet();
  await members.startAll();
  network.cut(["a"], ["b"]);
  await clock.advance(60_000);
  for (const name of names) expect(members.listLiveNames(name)).toBe(all);
  expect(members.events.filter(({ event }) => event.name === "vmDown")).toEqual([]);
});

// An observer is stopped (SIGSTOP) with probes in flight and continues a minute later. Its timers
// fire before the answers waiting in the sockets are read, so that every peer seems silent. If it
// acted on that, it would take over everything that the others own; it must detect its own pause.
test("a process that was paused declares no VM down", () => {
  const a = makeVm("a");
  let state = createMembershipState(a, "1.0", 0);
  const apply = (event: MembershipEvent) => {
    const applied = applyMembershipEvent(state, event);
    if (applied.type === "applied") state = applied.state;
    return applied.type === "applied" ? applied.effects : [];
  };
  apply({ type: "listed", now: 0, vms: names.map((n) => makeVm(n)) });
  apply({ type: "silent", now: 900, vm: "b", epoch: 0, isIndirect: true });
  expect(state.members.get("b")?.status).toBe("suspect");
  const [first] = apply({ type: "silent", now: 60_000, vm: "c", epoch: 0, isIndirect: true });
  expect(first).toEqual({ type: "paused", forMs: 59_100 });
  expect(state.members.get("c")?.status).toBe("alive");
  apply({ type: "tick", now: 60_010 });
  expect(state.members.get("b")?.status).toBe("suspect");
});

// A VM loses all its links, or is alone on its side of a partition. As no VM answers it, each of the
// others seems down. It keeps its last list and logs that it is isolated; the others consider it
// down, and all agree again once the links are restored.
test("an isolated VM declares no VM down", async () => {
  const { clock, members, network } = makeFleet();
  await members.startAll();
  await clock.advance(3000);
  network.cut(["a"], names.slice(1));
  await clock.advance(60_000);
  expect(members.listLiveNames("a")).toBe(all);
  expect(members.listLiveNames("b")).toBe(without("a"));
  expect(members.events.filter(({ event }) => event.name === "observerIsolated")).toHaveLength(1);
  network.cuts.clear();
  await clock.advance(2000);
  const refuted = members.events.filter(({ event }) => event.name === "suspicionRefuted");
  expect(refuted.map(({ vm }) => vm)).toContain("a");
  await clock.advance(28_000);
  for (const name of names) expect(members.listLiveNames(name)).toBe(all);
});

// A partition separates two halves for a minute; each half considers the other down and continues
// alone. Afterwards, neither probes the other regularly, and old news of VMs that were down still
// circulates: down VMs are probed occasionally, and a VM that is told that it is down refutes it.
test("two halves of a partition find each other again, and old news marks no VM as down later", async () => {
  const { clock, members, network } = makeFleet();
  await members.startAll();
  await clock.advance(3000);
  network.cut(names.slice(0, 3), names.slice(3));
  await clock.advance(60_000);
  expect(members.listLiveNames("a")).toBe("a b c");
  expect(members.listLiveNames("g")).toBe("d e f g");
  network.cuts.clear();
  await clock.advance(60_000);
  for (const name of names) expect(members.listLiveNames(name)).toBe(all);
  members.events.splice(0);
  await clock.advance(120_000);
  expect(members.events).toEqual([]);
});

test("a VM that leaves is in no list of live VMs after seconds, and stays out", async () => {
  const { clock, members } = makeFleet();
  await members.startAll();
  await clock.advance(2000);
  members.trackers.get("d")?.setState("leaving");
  await clock.advance(4000);
  for (const name of names) expect(members.listLiveNames(name)).toBe(without("d"));
  await clock.advance(60_000);
  for (const name of names) expect(members.listLiveNames(name)).toBe(without("d"));
});

// The store is down, so that no list can be read. A running VM keeps its list and continues to probe.
// A VM that starts knows no other; the seeds in its settings answer with all VMs that they know.
test("membership works while the store is down, also for a VM that starts", async () => {
  const { clock, members, store } = makeFleet();
  await members.startAll();
  await clock.advance(2000);
  store.isDown = true;
  members.stop("e");
  await clock.advance(30_000);
  expect(members.listLiveNames("a")).toBe(without("e"));
  await members.start("e", [{ host: "10.0.0.1", port: 7432 }]);
  await clock.advance(2000);
  expect(members.listLiveNames("e")).toBe(all);
  await clock.advance(10_000);
  expect(members.listLiveNames("g")).toBe(all);
});

// The platform still lists a VM as leaving that was replaced under the same name.
// Applying that outdated state at each read would exclude the new VM for minutes.
test("an outdated leaving state in the list does not exclude the VM's next run", async () => {
  const { clock, members, store } = makeFleet();
  await members.startAll();
  store.vms = members.vms.map((vm) => (vm.name === "b" ? { ...vm, state: "leaving" } : vm));
  await clock.advance(20_000);
  expect(members.listLiveNames("a")).toBe(without("b"));
  members.stop("b");
  await members.start("b");
  await clock.advance(60_000);
  expect(members.listLiveNames("a")).toBe(all);
});

// Applies cut links, pauses, crashes and restarts in any order, and then repairs all of them.
// Every VM must be live on every VM again within bounded time: no old news may keep one down.
test("after any faults all VMs agree that all are live", async () => {
  const vm = fc.constantFrom(...names);
  const fault = fc.oneof(
    fc.record({ type: fc.constant("cut" as const), a: vm, b: vm }),
    fc.record({ type: fc.constantFrom("pause", "stop", "heal", "store"), a: vm }),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(fault, { minLength: 2, maxLength: 12 }), async (faults) => {
      const { clock, members, network, store } = makeFleet();
      await members.startAll();
      for (const f of faults) {
        if ("b" in f) network.cut([f.a], [f.b]);
        else if (f.type === "pause") members.paused.add(f.a);
        else if (f.type === "stop") members.stop(f.a);
        else if (f.type === "store") store.isDown = !store.isDown;
        else network.cuts.clear();
        await clock.advance(4000);
      }
      network.cuts.clear();
      members.paused.clear();
      store.isDown = false;
      for (const name of names) if (!members.trackers.has(name)) await members.start(name);
      await clock.advance(90_000);
      for (const name of names) expect(members.listLiveNames(name)).toBe(all);
      members.stopAll();
    }),
    { seed: 4711, numRuns: 15 },
  );
});
