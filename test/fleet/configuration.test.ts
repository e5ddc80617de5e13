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
  const proxies = new ConfigurationFixture({ store, network, clock }, makeVms(count));
  let version = 0;
  const write = async (revision: number, teams = [team(`t${revision}`)]) => {
    const value = { revision, changeId: `c${revision}`, changes: [], ...draft(teams) };
    const json = JSON.parse(JSON.stringify(value)) as never;
    const written = await store.put(configurationKind, "current", json, version);
    if (written.type === "written") version = written.object.version;
  };
  return { store, network, clock, proxies, write };
};

test("a change is in force on every proxy, and only the relays watch the store", async () => {
  const { store, clock, proxies, write } = makeFleet(24);
  await write(1);
  await proxies.startAll();
  expect(store.countWatches()).toBe(6);
  await write(2);
  await clock.advance(0);
  expect(new Set(proxies.listRevisions())).toEqual(new Set([2]));
  proxies.trackers.forEach((tracker) => {
    tracker.dispose();
  });
});

// The platform's store is down while a proxy is replaced. A new proxy that relied on the store would
// serve without rules or never become ready. It adopts the greatest revision of its peers, and its
// configuration is not known before.
test("a new proxy takes the greatest revision from its peers while the store is down", async () => {
  const { store, clock, proxies, write } = makeFleet(5);
  await write(1);
  await proxies.startAll();
  await write(2);
  await clock.advance(0);
  proxies.stop("vm3");
  store.isDown = true;
  const started = proxies.start("vm3");
  expect(proxies.trackers.get("vm3")?.isKnown()).toBe(false);
  await clock.advance(1000);
  await started;
  expect(proxies.trackers.get("vm3")?.getCurrent().revision).toBe(2);
});

test("without store and peers the configuration is not known, so that the proxy is not ready", async () => {
  const { store, clock, proxies } = makeFleet(3);
  store.isDown = true;
  for (const vm of proxies.vms) void proxies.start(vm.name);
  await clock.advance(30_000);
  expect([...proxies.trackers.values()].map((tracker) => tracker.isKnown())).toEqual([
    false,
    false,
    false,
  ]);
  proxies.trackers.forEach((tracker) => {
    tracker.dispose();
  });
});

// The store is restored from an old backup: it holds revision 1 while revision 3 is in force.
// Proxies that adopted it would revert changes that operators were told are accepted.
// They keep revision 3, log an error, and adopt only the next greater revision.
test("a store restored to an older revision is reported and not adopted", async () => {
  const { store, clock, proxies, write } = makeFleet(6);
  await write(1);
  const old = store.copy();
  await proxies.startAll();
  await write(3);
  await clock.advance(0);
  store.restore(old);
  store.breakWatches();
  await clock.advance(3000);
  expect(new Set(proxies.listRevisions())).toEqual(new Set([3]));
  expect(proxies.events.some(({ event }) => event.name === "storeReverted")).toBe(true);
  proxies.trackers.forEach((tracker) => {
    tracker.dispose();
  });
});

// Every watch stalls for good, without an error or a change, so that no proxy would see a new
// revision until a restart. The relays' periodic reads find it, and their trees distribute it.
test("periodic reads of the relays find what stalled watches miss", async () => {
  const { store, clock, proxies, write } = makeFleet(9);
  await write(1);
  await proxies.startAll();
  store.breakWatches(true);
  await write(2);
  await clock.advance(180_000);
  expect(new Set(proxies.listRevisions())).toEqual(new Set([2]));
  proxies.trackers.forEach((tracker) => {
    tracker.dispose();
  });
});

test.each([1, 8, 173, 1000])(
  "the relay trees of a data centre of %d VMs reach all of them within three hops",
  (n) => {
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
  },
);

// Applies cut links, pauses, restarts, store outages and broken or stalled watches in any order, with
// changes in between, and then repairs all of them. The greatest revision must come into force
// everywhere within bounded time, and no run of a proxy may ever have reverted to a smaller one.
test("after any faults the greatest revision is in force on all proxies and none reverted", async () => {
  const step = fc.oneof(
    { weight: 4, arbitrary: fc.constant({ type: "change" as const }) },
    fc.record({ type: fc.constant("cut" as const), a: fc.nat(6), b: fc.nat(6) }),
    fc.record({ type: fc.constantFrom("pause" as const, "restart" as const), a: fc.nat(6) }),
    fc.record({ type: fc.constant("store" as const), isDown: fc.boolean() }),
    fc.record({ type: fc.constant("watches" as const), silent: fc.boolean() }),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 4, maxLength: 20 }), async (steps) => {
      const { store, network, clock, proxies, write } = makeFleet(7);
      let revision = 1;
      await write(revision);
      await proxies.startAll();
      for (const s of steps) {
        if (s.type === "change" && !store.isDown) await write(++revision);
        else if (s.type === "cut") network.cut([`vm${s.a}`], [`vm${s.b}`]);
        else if (s.type === "pause") proxies.paused.add(`vm${s.a}`);
        else if (s.type === "store") store.isDown = s.isDown;
        else if (s.type === "watches") store.breakWatches(s.silent);
        else if (s.type === "restart") {
          proxies.stop(`vm${s.a}`);
          void proxies.start(`vm${s.a}`);
        }
        await clock.advance(700);
      }
      network.cuts.clear();
      proxies.paused.clear();
      store.isDown = false;
      for (let round = 1; round <= 100; round++) {
        proxies.exchangeHellos(round);
        await clock.advance(1000);
      }
      expect(proxies.listRevisions()).toEqual(proxies.vms.map(() => revision));
      const runs = new Map<number, number>();
      for (const { run, revision: next } of proxies.adopted) {
        expect(next).toBeGreaterThan(runs.get(run) ?? 0);
        runs.set(run, next);
      }
      proxies.trackers.forEach((tracker) => {
        tracker.dispose();
      });
    }),
    { seed: 4711, numRuns: 25 },
  );
});
