import { afterEach, expect, test } from "@jest/globals";
import {
  findAnswer,
  type LeadershipAnswer,
  type PeerResult,
  type Proxy,
} from "../../src/leadership/index.js";
import { DirectPeerClient } from "../../src/directpeer/index.js";
import { silentLogger } from "../../src/log/index.js";
import { hashPair } from "../../src/policy/index.js";
import { singleRegion, Topology } from "../../src/topology/index.js";
import { createSystemClock } from "../../src/system/index.js";
import { chooseReader, chooseUpstream, ReaderClient } from "../../src/node/reader.js";
import { FakeClock } from "../fleet/fakes.js";
import { Cluster, findAddress, waitUntil } from "./cluster.js";

let cluster: Cluster | undefined;

afterEach(async () => {
  await cluster?.dispose();
  cluster = undefined;
});

const proxy = (vm: string, dataCentre: string, change: Partial<Proxy> = {}): Proxy => ({
  vm,
  address: { host: "10.0.0.1", port: 5000 },
  dataCentre,
  ...change,
});

const proxies = [proxy("c", "a"), proxy("b", "a"), proxy("a", "b")];
const isNoneAvoided = () => false;

test("the first proxy of the data centre is its reader", () => {
  expect(chooseReader("a", proxies, isNoneAvoided)?.vm).toBe("b");
  expect(chooseReader("b", proxies, isNoneAvoided)?.vm).toBe("a");
  expect(chooseReader("a", proxies, (vm) => vm === "b")?.vm).toBe("c");
  const missed = [proxy("b", "a", { isMissed: true }), proxy("c", "a")];
  expect(chooseReader("a", missed, isNoneAvoided)?.vm).toBe("c");
  expect(chooseReader("x", proxies, isNoneAvoided)).toBeUndefined();
});

test("an unlisted proxy polls a listed one of its data centre, then of its region", () => {
  const topology = new Topology(
    new Map([
      ["a", "east"],
      ["b", "east"],
      ["c", "west"],
    ]),
  );
  const far = Array.from({ length: 12 }, (_, i) => proxy(`far-${i}`, "c"));
  const listed = [...far, proxy("near", "b"), proxy("own", "a")];
  const choose = (isAvoided: (vm: string) => boolean, known = topology) =>
    chooseUpstream("vm-x", "a", listed, isAvoided, known)?.vm;
  expect(choose(isNoneAvoided)).toBe("own");
  expect(choose((vm) => vm === "own")).toBe("near");
  expect(choose((vm) => !vm.startsWith("far"))).toMatch(/^far/);
  // Without regions the hash alone picks among all other data centres.
  const isOwn = (vm: string) => vm === "own";
  expect(choose(isOwn, singleRegion)).toBe(
    [...listed]
      .filter(({ vm }) => vm !== "own")
      .sort((a, b) => hashPair("vm-x", b.vm) - hashPair("vm-x", a.vm))[0]?.vm,
  );
});

const update = {
  leadership: { version: 3, document: { holder: undefined, groups: {} } },
  promoted: [],
};
const answer = (change: Partial<LeadershipAnswer>): LeadershipAnswer => ({
  ...update,
  vm: "b",
  listsAsker: true,
  confirmedAgoMs: 200,
  storeAgoMs: 100,
  storeRevision: 40,
  lookedAgoMs: 100,
  ...change,
});

const ask = (vm: string, reply: LeadershipAnswer | undefined, clock = new FakeClock()) => {
  clock.time = 5000;
  const result: PeerResult<LeadershipAnswer> =
    reply === undefined ? { type: "silent" } : { type: "answered", answer: reply };
  const peers = { share: () => Promise.resolve(result) };
  const client = new ReaderClient({ vm, dataCentre: "a", topology: singleRegion, peers, clock });
  return client.askReader(proxies, update);
};

test("a reader's poll has the ages that the reader reported", async () => {
  expect(await ask("c", answer({}))).toMatchObject({
    polledAt: 4900,
    confirmedAt: 4800,
    revision: 40,
  });
  expect(await ask("b", answer({}))).toBeUndefined();
});

// The reader can't reach the store, has not read all changes, or no longer lists the asking proxy, for which a
// change of primary would then not wait. In each case its answer is not used, and the store is polled at once.
test("the answer of a reader without current data is not used", async () => {
  expect(await ask("c", undefined)).toBeUndefined();
  expect(await ask("c", answer({ lookedAgoMs: 1000 }))).toBeUndefined();
  expect(await ask("c", answer({ lookedAgoMs: undefined }))).toBeUndefined();
  expect(await ask("c", answer({ storeRevision: undefined }))).toBeUndefined();
  expect(await ask("c", answer({ listsAsker: false }))).toBeUndefined();
});

const hasApplied = (vm: string, revision: number) =>
  cluster?.lines.some(
    (line) =>
      line.vm === vm &&
      line.event.name === "routesInForce" &&
      typeof line.fields.revision === "number" &&
      line.fields.revision >= revision,
  ) === true;

// Two proxies can't reach the store and poll through a third, which can. They apply configurations and continue
// to use primaries. Then the reader stops as well, and their permits expire.
test("followers are served by their reader, and stop using primaries without it", async () => {
  const running = await Cluster.start({ nodes: 3 });
  cluster = running;
  await waitUntil(() => running.isListed());
  const unreachable = await findAddress();
  for (const i of [1, 2]) {
    const settings = running.settings[i];
    if (settings !== undefined) running.nodes[i]?.setSettings({ ...settings, store: unreachable });
  }
  const client = await running.open("primary", 2);
  expect(await client.query("WRITE cello taken")).toMatch(/^COMPLETE/);
  running.setRoutes({ without: "stale" });
  await waitUntil(() => hasApplied("vm-1", 2) && hasApplied("vm-2", 2));
  for (let i = 0; i < 25; i += 1) {
    expect(await client.query("READ cello")).toMatch(/^DATAROW taken/);
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  await running.nodes[0]?.dispose();
  running.store.isBusy = true;
  await waitUntil(async () => (await client.query("READ cello")).startsWith("ERROR BUSY"));
});

// The reader can't reach the store and learns of the store's answers from a proxy that can. If those counted as
// its own polls, its followers would keep an old configuration and send statements by a route that was removed
// 3 s before. It adopts the new configuration from that proxy, and even that doesn't count as a poll.
test("answers of the store that a reader learns of from others do not count as its own polls", async () => {
  const running = await Cluster.start({ nodes: 2 });
  cluster = running;
  await waitUntil(() => running.isListed());
  const [reader, other] = running.settings;
  if (reader === undefined || other === undefined) throw new Error("two nodes were started");
  running.nodes[0]?.setSettings({ ...reader, store: await findAddress() });
  running.setRoutes({ without: "stale" });
  const peers = new DirectPeerClient(other.vm, silentLogger, createSystemClock());
  const address = reader.peers ?? reader.callers;
  let reply: LeadershipAnswer | undefined;
  await waitUntil(async () => {
    reply = findAnswer(await peers.share({ vm: reader.vm, address }, update, 250));
    return reply?.storeAgoMs !== undefined && (reply.lookedAgoMs ?? 0) > reply.storeAgoMs + 1500;
  });
  await waitUntil(() => hasApplied("vm-0", 2) && hasApplied("vm-1", 2));
  const after = findAnswer(await peers.share({ vm: reader.vm, address }, update, 250));
  expect(after?.lookedAgoMs ?? Infinity).toBeGreaterThan((after?.storeAgoMs ?? 0) + 1500);
});

// The reader ends without deregistering. Its followers poll the store themselves and miss no change.
test("followers poll the store themselves once their reader is gone", async () => {
  const running = await Cluster.start({ nodes: 3 });
  cluster = running;
  await waitUntil(() => running.isListed());
  await running.nodes[0]?.dispose();
  running.setRoutes({ without: "stale" });
  await waitUntil(() => hasApplied("vm-1", 2) && hasApplied("vm-2", 2));
  const client = await running.open("primary", 1);
  expect(await client.query("WRITE cello taken")).toMatch(/^COMPLETE/);
});
