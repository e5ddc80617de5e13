import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "@jest/globals";
import { planDrain } from "../../src/node/drain.js";
import { Cluster, waitUntil, type Client } from "./cluster.js";

let cluster: Cluster;

afterEach(() => cluster.dispose());

/** How long a statement takes that is running nearly all the time, in milliseconds. */
const slowWorkMs = 300;

const hasCutOff = (vm: string) =>
  cluster.lines.some((line) => line.vm === vm && line.event.name === "drainCutOff");

const listWrites = () => cluster.log.findPrimary()?.log ?? [];

/** Keeps a statement running in a transaction with a write until one fails, and rolls back; returns that answer. */
async function runTransaction(client: Client): Promise<string> {
  await client.query("BEGIN");
  await client.query("WRITE cello taken");
  let answer = "DATAROW";
  while (answer.startsWith("DATAROW")) answer = await client.query("READ cello");
  await client.query("ROLLBACK");
  return answer;
}

/** Finds the node that ran the latest statement which another node forwarded. */
const findGateway = (): number => {
  const line = cluster.lines.findLast(({ fields }) => typeof fields.gateway === "string");
  return cluster.settings.findIndex(({ vm }) => vm === line?.fields.gateway);
};

// Only transactions that were idle at that moment were rolled back; others went on and were cut off at the end.
test("a transaction with a running statement is ended after it when its time is over", async () => {
  cluster = await Cluster.start({ nodes: 1, workMs: slowWorkMs });
  const client = await cluster.open("primary");
  const ended = runTransaction(client);
  await cluster.nodes[0]?.drain();
  expect(await ended).toMatch(/^ERROR ABORTED .*\nREADY E$/);
  expect(hasCutOff("vm-0")).toBe(false);
  await waitUntil(() => client.isClosed);
  expect(listWrites()).toEqual([]);
});

// A gateway had the same gap: it kept another node's transaction until its end, which cut the connection.
test("a gateway ends another node's transaction after its running statement", async () => {
  cluster = await Cluster.start({ nodes: 5, gateways: true, connections: 5, workMs: 5 });
  const isListed = (vm: string) => cluster.store.find("radishwalk-proxies", vm) !== undefined;
  await waitUntil(() => cluster.settings.filter(({ vm }) => isListed(vm)).length >= 2);
  const unlisted = cluster.settings.findIndex(({ vm }) => !isListed(vm));
  const client = await cluster.open("primary", unlisted);
  await waitUntil(async () => (await client.query("READ viola")).includes("COMPLETE i-0."));
  cluster.target(0).faults.slowness = slowWorkMs / 5;
  const ended = runTransaction(client);
  await sleep(2 * slowWorkMs);
  const gateway = findGateway();
  await cluster.nodes[gateway]?.drain();
  expect(hasCutOff(`vm-${gateway}`)).toBe(false);
  expect(await ended).toMatch(/^ERROR ABORTED/);
  expect(listWrites()).toEqual([]);
});

// A commit that runs when the time is over takes effect, and its caller has to hear so.
test("a commit that is running when the time is over is answered", async () => {
  cluster = await Cluster.start({ nodes: 1, workMs: slowWorkMs });
  const client = await cluster.open("primary");
  await client.query("BEGIN");
  await client.query("WRITE cello taken");
  const drained = cluster.nodes[0]?.drain();
  await sleep(2800);
  expect(await client.query("COMMIT")).toMatch(/^COMPLETE i-0.*\nREADY I$/);
  await drained;
  expect(listWrites()).toHaveLength(1);
});

// A caller sends ahead: what it has sent after the transaction would be run and cut off.
test("statements that were sent ahead are refused when the time is over", async () => {
  cluster = await Cluster.start({ nodes: 1, workMs: slowWorkMs });
  const client = await cluster.open("primary");
  await client.query("BEGIN");
  const drained = cluster.nodes[0]?.drain();
  await sleep(2800);
  const texts = ["READ cello", "READ cello", "ROLLBACK", "READ cello", "BEGIN"];
  for (const [i, text] of texts.entries()) client.send(`QUERY a${i} ${text}\r\n`);
  for (const answer of [/^DATAROW/, /^ERROR ABORTED/, /^COMPLETE/, /^ERROR BUSY/, /^ERROR BUSY/])
    expect(await client.read()).toMatch(answer);
  await drained;
  expect(hasCutOff("vm-0")).toBe(false);
});

// A reload of the settings and a second request to stop must neither cut off nor lengthen the drain.
test("a drain goes on through a second request and a reload of the settings", async () => {
  cluster = await Cluster.start({ nodes: 1, workMs: slowWorkMs });
  const client = await cluster.open("primary");
  const [node] = cluster.nodes;
  const [settings] = cluster.settings;
  if (node === undefined || settings === undefined) throw new Error("no node was started");
  const ended = runTransaction(client);
  const drained = node.drain();
  await sleep(1000);
  node.setSettings(settings);
  expect(node.drain()).toBe(drained);
  await drained;
  expect(await ended).toMatch(/^ERROR ABORTED/);
  expect(hasCutOff("vm-0")).toBe(false);
});

// Statements that wait are refused between the end of transactions and the cut-off, or nobody would hear of them.
test.each([1000, 3000, 6000, 30_000])("a grace period of %s ms is divided in order", (graceMs) => {
  const { announceMs, endWorkAfterMs, cancelWaitingAfterMs, limitMs } = planDrain(graceMs);
  const cutOffMs = announceMs + limitMs;
  expect(announceMs).toBeLessThanOrEqual(endWorkAfterMs);
  expect(endWorkAfterMs).toBeLessThanOrEqual(cancelWaitingAfterMs);
  expect(cancelWaitingAfterMs).toBeLessThanOrEqual(Math.max(cutOffMs, endWorkAfterMs));
  expect(cutOffMs).toBeLessThan(graceMs);
});
