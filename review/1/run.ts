import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { Deployment, service, type RunningNode } from "../lib/deployment.js";
import { LineClient } from "../lib/line-client.js";
import { CaseRecord } from "../lib/record.js";

const hasTrouble = process.env.TROUBLE !== "0";
const record = new CaseRecord(join("review", "1", "record.txt"));

/** From the write that begins the change of primary to the cut, and how long the cut lasts. */
const cutAfterMs = 80;
const cutForMs = 11_000;
/** From an order of the next holder to the next planned replacement. */
const nextReleaseMs = 1000;
/** How long a run without the cut goes on, and how long both go on at the end. */
const calmMs = 6000;
const settleMs = 4000;
const database = "reserva-1";

interface Leadership {
  readonly holder: { readonly vm: string } | null;
}

async function main(): Promise<number> {
  const deployment = await Deployment.start({
    nodes: 3,
    routes: [{ host: database, type: "primary", timeoutMs: 800 }],
    slots: 5,
    lagMs: 60,
    promoteMs: 300,
  });
  try {
    return await run(deployment);
  } finally {
    deployment.stop();
    record.write();
  }
}

async function run(deployment: Deployment): Promise<number> {
  const { store } = deployment;
  await sleep(3000);
  const ended = new AbortController();
  const acknowledged: string[] = [];
  const clients = deployment.nodes.map((node) => write(node, acknowledged, ended.signal));
  await sleep(2000);
  const primary = deployment.findPrimary();
  if (primary === undefined) return 2;
  record.print(`planned: ${primary.target.id}, the primary, reports draining`);
  deployment.release(primary);
  const leader = await findLeader(deployment);
  if (leader === undefined) return fail("no node began a change of primary");
  record.print(`${leader.name} holds the duty`);
  if (hasTrouble) {
    await sleep(cutAfterMs);
    if (store.orders.length > 0) return fail("the order was sent before the cut");
    record.print(`${leader.name} is cut off from the store and the platform's API`);
    leader.storeLink.cut();
    leader.apiLink.cut();
    const heals = sleep(cutForMs);
    void releaseNext(deployment);
    await heals;
    const { bytes, closedSenders } = leader.apiLink.countHeld();
    record.print(
      `the cut ends after ${cutForMs} ms; held on the way to the platform's API: ${bytes} bytes, of ${closedSenders} connections that ${leader.name} has closed without a reset`,
    );
    leader.storeLink.heal();
    leader.apiLink.heal();
  } else {
    void releaseNext(deployment);
    await sleep(calmMs);
  }
  await sleep(settleMs);
  ended.abort();
  await Promise.all(clients);
  return judge(deployment, acknowledged);
}

/** The next backend is replaced after the first: a while after its promotion the new primary drains as well. */
async function releaseNext(deployment: Deployment): Promise<void> {
  while (deployment.store.orders.length === 0) await sleep(20);
  await sleep(nextReleaseMs);
  const primary = deployment.findPrimary();
  if (primary === undefined) return;
  record.print(`planned: ${primary.target.id}, the primary, reports draining`);
  deployment.release(primary);
}

function judge({ store, log }: Deployment, acknowledged: readonly string[]): number {
  for (const { holder, token, id } of store.orders)
    record.print(`order as the platform saw it: holder ${holder}, token ${token}, backend ${id}`);
  const kept = new Set(log.findNewest().flatMap(({ writes }) => writes.map(({ id }) => id)));
  const lost = acknowledged.filter((id) => !kept.has(id));
  record.print(`${acknowledged.length} writes acknowledged, ${lost.length} of them not in the log`);
  let newest = 0;
  let isBroken = false;
  for (const { service: named, token, holder } of store.orders) {
    if (named !== service) continue;
    if (token < newest) {
      record.print(`ONE is broken: ${holder} sent ${token} after the platform had seen ${newest}`);
      isBroken = true;
    }
    newest = Math.max(newest, token);
  }
  if (store.orders.length === 0) return fail("no order arrived");
  return isBroken ? 1 : 0;
}

function fail(reason: string): number {
  record.print(`the case could not run: ${reason}`);
  return 2;
}

/** Waits for the node that writes the beginning of a change under a condition. */
async function findLeader({ store, nodes }: Deployment): Promise<RunningNode | undefined> {
  const until = performance.now() + 8000;
  while (performance.now() < until) {
    const document = store.find("radishwalk-leadership", "current") as Leadership | undefined;
    const vm = document?.holder?.vm;
    if (vm !== undefined) return nodes.find(({ name }) => name === vm);
    await sleep(2);
  }
  return undefined;
}

let nextWrite = 0;

/** A session that writes again and again, and begins anew when it is closed. */
async function write(node: RunningNode, acknowledged: string[], ended: AbortSignal): Promise<void> {
  let client: LineClient | undefined;
  while (!ended.aborted) {
    if (client === undefined || client.isClosed) {
      client = await LineClient.open(node.frontend, database).catch(() => undefined);
      if (client === undefined) {
        await sleep(100);
        continue;
      }
    }
    nextWrite += 1;
    const id = `w${nextWrite.toString(16).padStart(15, "0")}`;
    const answer = await client.query(id, `WRITE k${nextWrite % 50} d${nextWrite}`);
    record.note(`${node.name} ${id}: ${answer.isClosed ? "closed" : answer.end}`);
    if (answer.end.startsWith("COMPLETE ")) acknowledged.push(id);
    await sleep(50);
  }
  client?.end();
}

main().then(
  (code) => process.exit(code),
  (error: unknown) => {
    console.error(error);
    process.exit(2);
  },
);
