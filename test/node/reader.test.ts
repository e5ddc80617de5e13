import { afterEach, expect, test } from "@jest/globals";
import type { LeadershipAnswer, Proxy } from "../../src/leadership/index.js";
import { DirectPeerClient } from "../../src/directpeer/index.js";
import { silentLogger } from "../../src/log/index.js";
import { chooseReader, ReaderClient } from "../../src/node/reader.js";
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
const nobody = () => false;

test("the first proxy of the data centre reads for it", () => {
  expect(chooseReader("a", proxies, nobody)?.vm).toBe("b");
  expect(chooseReader("b", proxies, nobody)?.vm).toBe("a");
  expect(chooseReader("a", proxies, (vm) => vm === "b")?.vm).toBe("c");
  const missed = [proxy("b", "a", { isMissed: true }), proxy("c", "a")];
  expect(chooseReader("a", missed, nobody)?.vm).toBe("c");
  expect(chooseReader("x", proxies, nobody)).toBeUndefined();
});

const word = { leadership: { version: 3, document: { holder: undefined, groups: {} } }, made: [] };
const answer = (change: Partial<LeadershipAnswer>): LeadershipAnswer => ({
  ...word,
  vm: "b",
  listsAsker: true,
  confirmedAgoMs: 200,
  storeAgoMs: 100,
  storeRevision: 40,
  lookedAgoMs: 100,
  ...change,
});

const ask = (vm: string, said: LeadershipAnswer | undefined, clock = new FakeClock()) => {
  clock.time = 5000;
  const peers = { share: () => Promise.resolve(said) };
  const client = new ReaderClient({ vm, dataCentre: "a", peers, clock });
  return client.askReader(proxies, word);
};

test("a reader's look has the ages that it told", async () => {
  expect(await ask("c", answer({}))).toMatchObject({
    polledAt: 4900,
    confirmedAt: 4800,
    revision: 40,
  });
  expect(await ask("b", answer({}))).toBeUndefined();
});

// The reader is cut off, has not read all that changed, or no longer lists the proxy that asks: a change of
// primary would not wait for that one. Each counts as no look, and the store is asked at once.
test("a reader that does not know enough is no reader", async () => {
  expect(await ask("c", undefined)).toBeUndefined();
  expect(await ask("c", answer({ lookedAgoMs: 1000 }))).toBeUndefined();
  expect(await ask("c", answer({ lookedAgoMs: undefined }))).toBeUndefined();
  expect(await ask("c", answer({ storeRevision: undefined }))).toBeUndefined();
  expect(await ask("c", answer({ listsAsker: false }))).toBeUndefined();
});

const lists = (vm: string, revision: number) =>
  cluster?.lines.some(
    (line) =>
      line.vm === vm &&
      line.event.name === "routesInForce" &&
      typeof line.fields.revision === "number" &&
      line.fields.revision >= revision,
  ) === true;

// Two proxies lose their own way to the store and follow a third, which has it. They take configurations
// in and go on using primaries. Then the reader goes as well, and their permission lapses.
test("followers take everything from their reader, and stop with it", async () => {
  const running = await Cluster.start({ nodes: 3 });
  cluster = running;
  await waitUntil(() => running.isListed());
  const dead = await findAddress();
  for (const i of [1, 2]) {
    const settings = running.settings[i];
    if (settings !== undefined) running.nodes[i]?.setSettings({ ...settings, store: dead });
  }
  const client = await running.open("primary", 2);
  expect(await client.query("WRITE cello taken")).toMatch(/^COMPLETE/);
  running.setRoutes({ without: "stale" });
  await waitUntil(() => lists("vm-1", 2) && lists("vm-2", 2));
  for (let i = 0; i < 25; i += 1) {
    expect(await client.query("READ cello")).toMatch(/^DATAROW taken/);
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  await running.nodes[0]?.dispose();
  running.store.isBusy = true;
  await waitUntil(async () => (await client.query("READ cello")).startsWith("ERROR BUSY"));
});

// The reader is cut off from the store and hears of the store's answers from a proxy that is not. Taken for
// looks of its own, those would keep its followers on an old configuration: they sent statements by a route
// that had been removed 3 s before. It learns the new one from that proxy, and even then has not looked.
test("what a reader hears of the store from others is no look", async () => {
  const running = await Cluster.start({ nodes: 2 });
  cluster = running;
  await waitUntil(() => running.isListed());
  const [reader, other] = running.settings;
  if (reader === undefined || other === undefined) throw new Error("two nodes were started");
  running.nodes[0]?.setSettings({ ...reader, store: await findAddress() });
  running.setRoutes({ without: "stale" });
  const peers = new DirectPeerClient(other.vm, silentLogger);
  const address = reader.peers ?? reader.callers;
  let said: LeadershipAnswer | undefined;
  await waitUntil(async () => {
    said = await peers.share({ vm: reader.vm, address }, word, 250);
    return said?.storeAgoMs !== undefined && (said.lookedAgoMs ?? 0) > said.storeAgoMs + 1500;
  });
  await waitUntil(() => lists("vm-0", 2) && lists("vm-1", 2));
  const after = await peers.share({ vm: reader.vm, address }, word, 250);
  expect(after?.lookedAgoMs ?? Infinity).toBeGreaterThan((after?.storeAgoMs ?? 0) + 1500);
});

// The reader dies without a word. Those that followed it look at the store for themselves and miss nothing.
test("followers look for themselves once their reader is gone", async () => {
  const running = await Cluster.start({ nodes: 3 });
  cluster = running;
  await waitUntil(() => running.isListed());
  await running.nodes[0]?.dispose();
  running.setRoutes({ without: "stale" });
  await waitUntil(() => lists("vm-1", 2) && lists("vm-2", 2));
  const client = await running.open("primary", 1);
  expect(await client.query("WRITE cello taken")).toMatch(/^COMPLETE/);
});
