import { expect, test } from "@jest/globals";
import type { LeadershipAnswer, LeadershipTracker, Proxy } from "../../src/leadership/index.js";
import { PeerConfirmer } from "../../src/node/confirmer.js";
import { shuffle } from "../../src/system/index.js";
import { singleRegion, Topology } from "../../src/topology/index.js";
import { makeRandom } from "../fleet/fakes.js";

const names = Array.from({ length: 28 }, (_, i) => `vm-${i}`);
const proxies: readonly Proxy[] = names.map((vm, i) => ({
  vm,
  address: { host: "127.0.0.1", port: 1 },
  dataCentre: i % 7 === 0 ? "a" : "c",
}));
const twoRegions = new Topology(
  new Map([
    ["a", "east"],
    ["c", "west"],
  ]),
);

/** Peers of which those in `reaching` were confirmed by the store just now, and the proxy that asks them. */
function createConfirmer(reaching: (vm: string) => boolean, topology = singleRegion) {
  const asked: string[] = [];
  let confirmedAt: number | undefined;
  const leadership = { version: 7, document: { holder: undefined, groups: {} } };
  const tracker = {
    get confirmedAt() {
      return confirmedAt;
    },
    leadership,
    latestUpdate: { leadership, promoted: [] },
    lastAnsweredStoreQueryAt: 900,
    adopt: () => undefined,
    noteStoreAnswer: () => undefined,
    confirm: (at: number) => (confirmedAt = Math.max(confirmedAt ?? at, at)),
  };
  const answer = (vm: string): LeadershipAnswer => ({
    ...tracker.latestUpdate,
    vm,
    listsAsker: true,
    confirmedAgoMs: reaching(vm) ? 0 : undefined,
    storeAgoMs: undefined,
    storeRevision: undefined,
    lookedAgoMs: undefined,
  });
  const confirmer = new PeerConfirmer({
    vm: "vm-0",
    dataCentre: "a",
    topology,
    peers: {
      share: ({ vm }) => {
        asked.push(vm);
        return Promise.resolve({ type: "answered", answer: answer(vm) });
      },
    },
    tracker: tracker as unknown as LeadershipTracker,
    registry: {
      list: () => proxies,
      wasRegisteredBefore: () => true,
      isListingComplete: true,
    } as never,
    clock: { now: () => 1000 },
    random: makeRandom(1),
  });
  return { confirmer, asked, getConfirmedAt: () => confirmedAt };
}

// When the store is slow for all, 28 proxies that ask all others at once keep every processor busy.
test("a few peers are asked first, and one that reaches the store confirms", async () => {
  const { confirmer, asked, getConfirmedAt } = createConfirmer(() => true);
  await confirmer.askPeers();
  expect(asked).toHaveLength(3);
  expect(getConfirmedAt()).toBe(1000);
});

test("all others are asked when none of the first confirms, and a majority does", async () => {
  const { confirmer, asked, getConfirmedAt } = createConfirmer(() => false);
  await confirmer.askPeers();
  expect(new Set(asked).size).toBe(27);
  expect(asked).toHaveLength(27);
  expect(getConfirmedAt()).toBe(1000);
});

test("peers of this region are asked first, and the others only when none of them confirms", async () => {
  const near = ["vm-7", "vm-14", "vm-21"];
  const confirmed = createConfirmer(() => true, twoRegions);
  await confirmed.confirmer.askPeers();
  expect([...confirmed.asked].sort()).toEqual([...near].sort());
  const cutOff = createConfirmer((vm) => !near.includes(vm), twoRegions);
  await cutOff.confirmer.askPeers();
  expect(cutOff.asked).toHaveLength(27);
  expect(cutOff.getConfirmedAt()).toBe(1000);
});

// Guards deployments without regions: the peers and the random draws must be as before.
test("without regions the peers are asked in the order of the shuffle alone", async () => {
  const { confirmer, asked } = createConfirmer(() => true);
  await confirmer.askPeers();
  const order = shuffle(names.slice(1), makeRandom(1));
  expect(asked).toEqual(order.slice(0, 3));
});
