import { expect, test } from "@jest/globals";
import type { AnnouncedTarget } from "../../src/direct/index.js";
import { DirectPeerClient } from "../../src/directpeer/index.js";
import { encodeSnapshot, initialFeedState } from "../../src/feed/index.js";
import { emptyLeadership, LeadershipKeeper, StallDetector } from "../../src/leadership/index.js";
import { silentLogger } from "../../src/log/index.js";
import type { NodeSettings, NodeStore } from "../../src/node/index.js";
import { StoreFollower } from "../../src/node/follower.js";
import { strictBounds } from "../../src/rates/index.js";
import { FakeClock, makeRandom, settle } from "../fleet/fakes.js";

const address = { host: "10.0.0.1", port: 5000 };
const settings: NodeSettings = {
  vm: "vm-0",
  dataCentre: "a",
  callers: address,
  readiness: address,
  peers: address,
  gateway: undefined,
  power: 1,
  dataCentres: 1,
  seeds: [],
  store: address,
  promotionAddress: address,
  graceMs: 6000,
  targetDrainMs: 7000,
  configurationApplyMs: 3000,
  rateBounds: strictBounds,
  storeReadsPerSecond: 2000,
};

const found = <T>(value: T) => Promise.resolve({ type: "found", value } as const);
const done = () => Promise.resolve(true);

/** A store that lists this proxy and nothing else, and counts the looks at it. */
class CountingStore implements NodeStore {
  looks = 0;
  readStatus: NodeStore["readStatus"] = () => {
    this.looks += 1;
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

/** A store that answers nothing until `backAt`. */
class AwayStore extends CountingStore {
  constructor(
    private readonly clock: FakeClock,
    private readonly backAt: number,
  ) {
    super();
  }

  override readStatus: NodeStore["readStatus"] = () => {
    this.looks += 1;
    if (this.clock.time < this.backAt) return unavailable();
    return found({ leadership: { version: 1, document: emptyLeadership }, revision: 7 });
  };
  override readRoutes: NodeStore["readRoutes"] = () =>
    this.clock.time < this.backAt
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

// All nodes lose their power and start again while the store is away. Every caller waits for its return;
// nodes that forward statements spare the store otherwise, and must not now.
test("a node that starts while the store is away knows the scene soon after its return", async () => {
  const clock = new FakeClock();
  const store = new AwayStore(clock, 1000);
  const tracker = new LeadershipKeeper({
    clock,
    logger: silentLogger,
    stalls: new StallDetector({ steady: () => clock.now(), wall: () => clock.now() }),
    listTargets: () => [],
    onStall: () => undefined,
    onMiss: () => undefined,
    onSuperseded: () => undefined,
    onSilence: () => undefined,
  });
  const follower = new StoreFollower({
    settings: { ...settings, vm: "vm-1", gateway: address },
    store,
    peers: new DirectPeerClient("vm-1", silentLogger),
    tracker,
    clock,
    random: makeRandom(1),
    logger: silentLogger,
    onServingConfig: () => undefined,
    onPoll: () => undefined,
  });
  void follower.run();
  await clock.advance(1200);
  expect(follower.isInitialised).toBe(true);
  expect(store.looks).toBeLessThan(12);
  follower.stop();
});

/** Peers that are silent, but for the seed's word. */
class SeedPeers extends DirectPeerClient {
  constructor(private readonly scene: () => string) {
    super("vm-1", silentLogger);
  }

  override share = () => Promise.resolve(undefined);
  override fetchScene = () => Promise.resolve(this.scene());
}

const target = (name: string): AnnouncedTarget => ({
  name,
  address: { host: "10.1.0.1", port: 5000 },
  dataCentre: "a",
  slots: 2,
  connections: 16,
  announcedRole: "primary",
});

// A node that forwards statements has read the store, and asks a seed since nobody answers it. The seed is
// cut off and knows of a target that is gone. Nothing changes in the store; the node's next look there has
// to bring the targets of today back all the same.
test("what a seed says never outlives the next look at the store", async () => {
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
  const tracker = new LeadershipKeeper({
    clock,
    logger: silentLogger,
    stalls: new StallDetector({ steady: () => clock.now(), wall: () => clock.now() }),
    listTargets: () => [],
    onStall: () => undefined,
    onMiss: () => undefined,
    onSuperseded: () => undefined,
    onSilence: () => undefined,
  });
  const follower = new StoreFollower({
    settings: { ...settings, vm: "vm-1", gateway: address, seeds: [{ host: "10.0.0.9", port: 1 }] },
    store,
    peers: new SeedPeers(() => JSON.stringify({ scene, proxies: full })),
    tracker,
    clock,
    random: makeRandom(1),
    logger: silentLogger,
    onServingConfig: () => undefined,
    onPoll: () => undefined,
  });
  const list = () => follower.servingConfig.groups.get("ledger")?.targets.map(({ name }) => name);
  void follower.run();
  await clock.advance(100);
  expect(list()).toEqual(["today"]);
  for (let ms = 0; ms < 4000 && list()?.[0] === "today"; ms += 50) await clock.advance(50);
  expect(list()).toEqual(["gone"]);
  const { looks } = store;
  for (let ms = 0; ms < 6000 && store.looks === looks; ms += 50) await clock.advance(50);
  await settle();
  expect(list()).toEqual(["today"]);
  follower.stop();
});

// The time of day jumps. Nothing that was confirmed before counts any more, and callers of primaries wait
// until the next look; it comes at once, not with the usual pause of 0.7 s.
test("a proxy that is woken looks at the store at once", async () => {
  const clock = new FakeClock();
  const store = new CountingStore();
  let wall = 0;
  const tracker = new LeadershipKeeper({
    clock,
    logger: silentLogger,
    stalls: new StallDetector({ steady: () => clock.now(), wall: () => clock.now() + wall }),
    listTargets: () => [],
    onStall: () => follower.wake(),
    onMiss: () => undefined,
    onSuperseded: () => undefined,
    onSilence: () => undefined,
  });
  const follower = new StoreFollower({
    settings,
    store,
    peers: new DirectPeerClient("vm-0", silentLogger),
    tracker,
    clock,
    random: makeRandom(1),
    logger: silentLogger,
    onServingConfig: () => undefined,
    onPoll: () => undefined,
  });
  void follower.run();
  await clock.advance(300);
  const before = store.looks;
  expect(tracker.confirmedAt).toBeDefined();
  wall = 5000;
  expect(tracker.confirmedAt).toBeUndefined();
  clock.skip(1);
  await settle();
  expect(store.looks).toBe(before + 1);
  expect(tracker.confirmedAt).toBeDefined();
  follower.stop();
});
