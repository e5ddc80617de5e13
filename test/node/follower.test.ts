import { expect, test } from "@jest/globals";
import type { AnnouncedTarget } from "../../src/direct/index.js";
import { DirectPeerClient } from "../../src/directpeer/index.js";
import { encodeSnapshot, initialFeedState } from "../../src/feed/index.js";
import { emptyLeadership } from "../../src/leadership/index.js";
import { silentLogger } from "../../src/log/index.js";
import { createSystemClock } from "../../src/system/index.js";
import type { NodeStore } from "../../src/node/index.js";
import { FakeClock, flushTasks } from "../fleet/fakes.js";
import { address, makeFollower, makeSettings, makeTracker } from "./fixture.js";

const settings = makeSettings();

const found = <T>(value: T) => Promise.resolve({ type: "found", value } as const);
const done = () => Promise.resolve(true);

/** A store that lists only this proxy, and counts the polls. */
class CountingStore implements NodeStore {
  polls = 0;
  readStatus: NodeStore["readStatus"] = () => {
    this.polls += 1;
    const leadership = { version: 1, document: emptyLeadership };
    return found({ leadership, revision: 7 });
  };
  readLeadership = () => found({ version: 1, document: emptyLeadership });
  readRoutes: NodeStore["readRoutes"] = () =>
    found({
      revision: 1,
      databases: new Map(),
      connections: new Map(),
      transactionIdleMs: 3000,
      lineTimeoutMs: 3000,
    });
  readTargets: NodeStore["readTargets"] = () => found({ targets: [], invalidEntries: [] });
  readGroupRecords = () => found([]);
  listProxies: NodeStore["listProxies"] = () => found([{ vm: "vm-0", address, dataCentre: "a" }]);
  writeLeadership = () => Promise.resolve({ type: "conflict" } as const);
  writeGroupRecord = () => Promise.resolve({ type: "conflict" } as const);
  register = done;
  deregister = done;
  markMissed = () => Promise.resolve();
  removeMissed = () => Promise.resolve();
  setAddress = () => undefined;
  dispose = () => undefined;
}

/** A store that is unavailable until `availableAt`. */
class UnavailableStore extends CountingStore {
  constructor(
    private readonly clock: FakeClock,
    private readonly availableAt: number,
  ) {
    super();
  }

  override readStatus: NodeStore["readStatus"] = () => {
    this.polls += 1;
    if (this.clock.time < this.availableAt) return unavailable();
    return found({ leadership: { version: 1, document: emptyLeadership }, revision: 7 });
  };
  override readRoutes: NodeStore["readRoutes"] = () =>
    this.clock.time < this.availableAt
      ? unavailable()
      : found({
          revision: 1,
          databases: new Map(),
          connections: new Map(),
          transactionIdleMs: 3000,
          lineTimeoutMs: 3000,
        });
}

function unavailable() {
  return Promise.resolve({ type: "unavailable", reason: "away" } as const);
}

// All nodes restart after a power failure while the store is unavailable, and all callers wait for its return.
// Unlisted nodes normally poll the store rarely; in this case they must not.
test("a node that starts during an outage of the store is initialised soon after its return", async () => {
  const clock = new FakeClock();
  const store = new UnavailableStore(clock, 1000);
  const tracker = makeTracker(clock);
  const follower = makeFollower({
    settings: { ...settings, vm: "vm-1", gateway: address },
    store,
    tracker,
    clock,
  });
  void follower.run();
  await clock.advance(1200);
  expect(follower.isInitialised).toBe(true);
  expect(store.polls).toBeLessThan(12);
  follower.stop();
});

/** Peers that answer nothing but a seed's request for the configuration. */
class SeedPeers extends DirectPeerClient {
  constructor(private readonly getSnapshot: () => string) {
    super("vm-1", silentLogger, createSystemClock());
  }

  override share = () => Promise.resolve({ type: "silent" } as const);
  override fetchScene = () => Promise.resolve(this.getSnapshot());
}

const target = (name: string): AnnouncedTarget => ({
  name,
  address: { host: "10.1.0.1", port: 5000 },
  dataCentre: "a",
  slots: 2,
  connections: 16,
  announcedRole: "primary",
});

// An unlisted node has read the store, and asks a seed since no listed proxy answers. The seed can't reach the
// store and has an outdated list of targets. Although nothing changes in the store, the node's next poll has
// to restore the current targets.
test("a seed's data is replaced at the next poll of the store", async () => {
  const clock = new FakeClock();
  const store = new CountingStore();
  const routes = {
    revision: 1,
    databases: new Map(),
    connections: new Map([["ledger", 16]]),
    transactionIdleMs: 3000,
    lineTimeoutMs: 3000,
  };
  const full = Array.from({ length: 8 }, (_, i) => ({ vm: `vm-9${i}`, address, dataCentre: "a" }));
  store.readRoutes = () => found(routes);
  store.readTargets = () =>
    found({ targets: [{ group: "ledger", target: target("today") }], invalidEntries: [] });
  store.listProxies = () => found(full);
  const old = new Map([["gone", { group: "ledger", target: target("gone") }]]);
  const scene = encodeSnapshot({
    ...initialFeedState,
    routes,
    targets: old,
    hasTargetListing: true,
  });
  const tracker = makeTracker(clock);
  const follower = makeFollower({
    settings: { ...settings, vm: "vm-1", gateway: address, seeds: [{ host: "10.0.0.9", port: 1 }] },
    store,
    peers: new SeedPeers(() => JSON.stringify({ scene, proxies: full })),
    tracker,
    clock,
  });
  const list = () => follower.servingConfig.groups.get("ledger")?.targets.map(({ name }) => name);
  void follower.run();
  await clock.advance(100);
  expect(list()).toEqual(["today"]);
  for (let ms = 0; ms < 4000 && list()?.[0] === "today"; ms += 50) await clock.advance(50);
  expect(list()).toEqual(["gone"]);
  const { polls } = store;
  for (let ms = 0; ms < 6000 && store.polls === polls; ms += 50) await clock.advance(50);
  await flushTasks();
  expect(list()).toEqual(["today"]);
  follower.stop();
});

// The wall clock jumps, which voids the confirmation, and callers of primaries wait for the next poll. It
// takes place at once instead of after the usual delay of 0.7 s.
test("a proxy that is woken polls the store at once", async () => {
  const clock = new FakeClock();
  const store = new CountingStore();
  let wall = 0;
  const tracker = makeTracker(clock, {
    wall: () => clock.now() + wall,
    onStall: () => follower.wake(),
  });
  const follower = makeFollower({
    settings,
    store,
    tracker,
    clock,
  });
  void follower.run();
  await clock.advance(300);
  const before = store.polls;
  expect(tracker.confirmedAt).toBeDefined();
  wall = 5000;
  expect(tracker.confirmedAt).toBeUndefined();
  clock.jumpAhead(1);
  await flushTasks();
  expect(store.polls).toBe(before + 1);
  expect(tracker.confirmedAt).toBeDefined();
  follower.stop();
});

// One exception ended the polling of a node for good: it adopted nothing more and lost its permit.
test("a poll goes on after an error that nobody expected, and so does what follows it", async () => {
  const clock = new FakeClock();
  const store = new CountingStore();
  const { readTargets } = store;
  store.readTargets = () => {
    if (store.polls <= 2) throw new RangeError("Maximum call stack size exceeded");
    return readTargets();
  };
  let followUps = 0;
  const onPoll = () => {
    followUps += 1;
    throw new Error("unexpected");
  };
  const follower = makeFollower({ settings, store, tracker: makeTracker(clock), clock, onPoll });
  void follower.run();
  await clock.advance(5000);
  expect(follower.isInitialised).toBe(true);
  expect(store.polls).toBeGreaterThan(4);
  expect(followUps).toBeGreaterThan(4);
  follower.stop();
});
