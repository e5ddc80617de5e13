import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { chooseRelays, isRelay, listChildren } from "../../src/controller/configuration/index.js";
import { configurationKind } from "../../src/fleet/index.js";
import type { Vm } from "../../src/model/index.js";
import { draft, team } from "./builders.js";
import { FakeClock, FakeNetwork, FakeStore, makeVm } from "./fakes.js";
import { ConfigurationFixture } from "./configuration-fixture.js";

const makeVms = (count: number): readonly Vm[] =>
  Array.from({ length: count }, (_, i) => makeVm(`vm${i}`, `dc${i % 3}`, i));

const makeFleet = (count: number) => {
  const [store, network, clock] = [new FakeStore(), new FakeNetwork(), new FakeClock()];
  const nodes = new ConfigurationFixture({ store, network, clock }, makeVms(count));
  let version = 0;
  const write = async (revision: number, teams = [team(`t${revision}`)]) => {
    const value = { revision, changeId: `c${revision}`, changes: [], ...draft(teams) };
    const json = JSON.parse(JSON.stringify(value)) as never;
    const written = await store.put(configurationKind, "current", json, version);
    if (written.type === "written") version = written.object.version;
  };
  return { store, network, clock, nodes, write };
};

test("a change is in force on every proxy, and only the relays watch", async () => {
  const { store, clock, nodes, write } = makeFleet(24);
  await write(1);
  await nodes.startAll();
  expect(store.countWatches()).toBe(6);
  await write(2);
  await clock.advance(0);
  expect(new Set(nodes.listRevisions())).toEqual(new Set([2]));
  nodes.keepers.forEach((keeper) => {
    keeper.dispose();
  });
});

// The platform's store is down while a proxy is replaced.
// The new one starts, finds no store, and would serve without rules or never be ready;
// it takes the greatest revision that its peers have, and only then is it known.
test("a new proxy takes the greatest revision from its peers while the store is down", async () => {
  const { store, clock, nodes, write } = makeFleet(5);
  await write(1);
  await nodes.startAll();
  await write(2);
  await clock.advance(0);
  nodes.stop("vm3");
  store.isDown = true;
  const started = nodes.start("vm3");
  expect(nodes.keepers.get("vm3")?.isKnown()).toBe(false);
  await clock.advance(1000);
  await started;
  expect(nodes.keepers.get("vm3")?.getCurrent().revision).toBe(2);
});

test("with neither store nor peers a proxy is not known, so it is not ready", async () => {
  const { store, clock, nodes } = makeFleet(3);
  store.isDown = true;
  for (const vm of nodes.vms) void nodes.start(vm.name);
  await clock.advance(30_000);
  expect([...nodes.keepers.values()].map((keeper) => keeper.isKnown())).toEqual([
    false,
    false,
    false,
  ]);
  nodes.keepers.forEach((keeper) => {
    keeper.dispose();
  });
});

// The store is restored from an old copy: revision 1 again, while 3 is in force.
// Proxies that followed it would take back what operators saw accepted.
// They keep revision 3 and alarm; the next greater revision is adopted as ever.
test("a store that comes back older is alarmed and not followed", async () => {
  const { store, clock, nodes, write } = makeFleet(6);
  await write(1);
  const old = store.copy();
  await nodes.startAll();
  await write(3);
  await clock.advance(0);
  store.restore(old);
  store.breakWatches();
  await clock.advance(3000);
  expect(new Set(nodes.listRevisions())).toEqual(new Set([3]));
  expect(nodes.events.some(({ event }) => event.name === "storeReverted")).toBe(true);
  nodes.keepers.forEach((keeper) => {
    keeper.dispose();
  });
});

// Every watch goes silent for good: no error, no change, the connections just stop.
// Without anything else the fleet would stay behind until a restart;
// the relays' rare reads find the new revision and their trees carry it on.
test("silent watches are made up for by the relays' own reads", async () => {
  const { store, clock, nodes, write } = makeFleet(9);
  await write(1);
  await nodes.startAll();
  store.breakWatches(true);
  await write(2);
  await clock.advance(180_000);
  expect(new Set(nodes.listRevisions())).toEqual(new Set([2]));
  nodes.keepers.forEach((keeper) => {
    keeper.dispose();
  });
});

test.each([1, 8, 173, 1000])("the trees of a data centre of %d reach all within few hops", (n) => {
  const vms = Array.from({ length: n }, (_, i) => makeVm(`vm${i}`));
  const relays = chooseRelays(vms);
  expect(
    vms
      .filter((vm) => isRelay(vm.name, vms))
      .map((vm) => vm.name)
      .sort(),
  ).toEqual(relays.map((vm) => vm.name).sort());
  for (const root of relays) {
    let reached = new Set([root.name]);
    for (let hop = 0; hop < 3; hop++) {
      const next = [...reached].flatMap((name) => listChildren(name, vms).map((vm) => vm.name));
      reached = new Set([...reached, ...next]);
    }
    expect(reached.size).toBe(n);
  }
});

// Cuts between any VMs, pauses, restarts, outages of the store, broken and silent watches, in any
// order, with changes in between. Afterwards everything heals.
// The greatest revision must be in force everywhere within bounded time, and no run of any proxy
// may ever have gone back.
test("whatever happened, the greatest revision is in force on all and none went back", async () => {
  const step = fc.oneof(
    { weight: 4, arbitrary: fc.constant({ type: "change" as const }) },
    fc.record({ type: fc.constant("cut" as const), a: fc.nat(6), b: fc.nat(6) }),
    fc.record({ type: fc.constantFrom("pause" as const, "restart" as const), a: fc.nat(6) }),
    fc.record({ type: fc.constant("store" as const), isDown: fc.boolean() }),
    fc.record({ type: fc.constant("watches" as const), silent: fc.boolean() }),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 4, maxLength: 20 }), async (steps) => {
      const { store, network, clock, nodes, write } = makeFleet(7);
      let revision = 1;
      await write(revision);
      await nodes.startAll();
      for (const s of steps) {
        if (s.type === "change" && !store.isDown) await write(++revision);
        else if (s.type === "cut") network.cut([`vm${s.a}`], [`vm${s.b}`]);
        else if (s.type === "pause") nodes.paused.add(`vm${s.a}`);
        else if (s.type === "store") store.isDown = s.isDown;
        else if (s.type === "watches") store.breakWatches(s.silent);
        else if (s.type === "restart") {
          nodes.stop(`vm${s.a}`);
          void nodes.start(`vm${s.a}`);
        }
        await clock.advance(700);
      }
      network.cuts.clear();
      nodes.paused.clear();
      store.isDown = false;
      for (let round = 1; round <= 100; round++) {
        nodes.exchangeHellos(round);
        await clock.advance(1000);
      }
      expect(nodes.listRevisions()).toEqual(nodes.vms.map(() => revision));
      const runs = new Map<number, number>();
      for (const { run, revision: next } of nodes.adopted) {
        expect(next).toBeGreaterThan(runs.get(run) ?? 0);
        runs.set(run, next);
      }
      nodes.keepers.forEach((keeper) => {
        keeper.dispose();
      });
    }),
    { seed: 4711, numRuns: 25 },
  );
});
