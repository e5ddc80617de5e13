import { afterEach, expect, test } from "@jest/globals";
import { Cluster, waitUntil } from "./cluster.js";

let cluster: Cluster;

afterEach(() => cluster.dispose());

const countEvents = (name: string) =>
  cluster.lines.filter((line) => line.event.name === name).length;

// The primary starts again under its name and address within a moment, holding nothing, and says that
// it leads. No entry lapses and every proxy reaches it. A caller that reads its own commit there would
// be told that there is none. Its log's end shows the loss when the connections are opened anew.
test("a primary that is back with nothing answers no read, and another one leads", async () => {
  cluster = await Cluster.start({ nodes: 3 });
  const client = await cluster.open("primary");
  expect(await client.query("WRITE cello taken")).toMatch(/^COMPLETE/);
  cluster.log.isCopying = false;
  await cluster.target(0).startEmpty();
  cluster.announceAll();
  const answers: string[] = [];
  await waitUntil(async () => {
    answers.push(await client.query("READ cello"));
    return answers.at(-1)?.startsWith("DATAROW") === true;
  });
  expect(answers.at(-1)).toMatch(/^DATAROW taken/);
  expect(answers.slice(0, -1).every((answer) => answer.startsWith("ERROR BUSY"))).toBe(true);
  expect(cluster.log.findPrimary()?.id).not.toBe("i-0");
  expect(countEvents("primaryLostLog")).toBeGreaterThan(0);
});

// A replica starts again under its name with nothing, and its entry tells so. What it was known to hold
// answers no read: each is asked for the mark that it needs, and goes elsewhere.
test("a replica that is back with nothing answers no read that needs what it held", async () => {
  cluster = await Cluster.start({ nodes: 1, targets: 2 });
  const client = await cluster.open("own");
  expect(await client.query("WRITE cello taken")).toMatch(/^COMPLETE/);
  await waitUntil(async () => (await client.query("READ cello")).startsWith("DATAROW taken"));
  cluster.log.isCopying = false;
  await cluster.target(1).startEmpty();
  cluster.announceAll();
  for (let i = 0; i < 20; i += 1)
    expect(await client.query("READ cello")).toMatch(/^DATAROW taken/);
});

// Somebody writes an entry that is no target's beside the others. It stands there for as long as it
// likes; callers are served, and the log says once what is wrong with it.
test("an entry of another writer is passed over, with one line", async () => {
  cluster = await Cluster.start({ nodes: 1 });
  cluster.store.set("servers", "stray", { service: "ledger", address: "127.0.0.1:1" });
  await waitUntil(() => countEvents("targetEntryRefused") > 0);
  const client = await cluster.open("primary");
  expect(await client.query("WRITE cello taken")).toMatch(/^COMPLETE/);
  cluster.setRoutes({ timeoutMs: 700 });
  await waitUntil(() => countEvents("routesInForce") > 1);
  expect(countEvents("targetEntryRefused")).toBe(1);
});

// The primary crashes with a commit that reached no replica. The next one begins before it, and its log ends
// so in the answer that opens a connection, until its own first commit. Taken for a primary that has lost
// its log it would be replaced in turn: callers waited twice as long for the group.
test("a new primary that begins before the old one's end has lost nothing", async () => {
  cluster = await Cluster.start({ nodes: 3 });
  const client = await cluster.open("primary");
  expect(await client.query("WRITE cello taken")).toMatch(/^COMPLETE/);
  cluster.log.isCopying = false;
  expect(await client.query("WRITE viola taken")).toMatch(/^COMPLETE/);
  await cluster.target(0).crash();
  cluster.store.remove("servers", "i-0");
  await waitUntil(async () => (await client.query("READ cello")).startsWith("DATAROW taken"));
  await waitUntil(() => countEvents("primaryChangeDone") > 0);
  for (let i = 0; i < 10; i += 1) expect(await client.query("READ cello")).toMatch(/^DATAROW/);
  expect(countEvents("primaryLostLog")).toBe(0);
  expect(cluster.store.orders).toHaveLength(1);
});
