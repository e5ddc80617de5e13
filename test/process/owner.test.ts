import { afterEach, expect, test } from "@jest/globals";
import type pg from "pg";
import type { RunningProxy, RunningSystem } from "../../standin/processes/index.js";
import { connectCaller } from "../path/caller.js";
import {
  findOwner,
  listFalseOutcomes,
  listViolations,
  readSeats,
  sleep,
  startLedger,
  waitFor,
  writeSeat,
  type Written,
} from "./build.js";

let system: RunningSystem;

afterEach(async () => {
  await system.dispose();
  expect(listViolations(system.proxies.map((p) => p.child))).toEqual([]);
});

const writers = 8;

async function connectMany({ callers }: RunningProxy, count: number): Promise<pg.Client[]> {
  return Promise.all(Array.from({ length: count }, () => connectCaller(callers)));
}

async function closeAll(clients: readonly pg.Client[]): Promise<void> {
  await Promise.all(clients.map((c) => c.end()));
}

// Eight callers of another proxy each write one seat, half of them with an idempotency key; the replicas
// lag, so that writes wait for their confirmation. Then the owner is killed and its peers take over.
// The result of a write that the owner had started is unknown: a keyed one is sent again and stored
// once; the caller of one without a key is told that it may have run, or truthfully that it has not.
test("no caller gets a false verdict when the owner is killed", async () => {
  system = await startLedger({ lagMs: 300 });
  const { owner, others } = await findOwner(system);
  const [near] = others;
  if (near === undefined) throw new Error("no other proxy");
  const clients = await connectMany(near, writers);
  const writing = clients.map((client, id) => writeSeat(client, id, id % 2 === 0));
  await waitFor(() => owner.child.lines.filter((l) => l.name === "requestPlaced").length > 1);
  owner.child.send("SIGKILL");
  const written = await Promise.all(writing);
  const stored = await readSeats(system);
  expect(listFalseOutcomes(written, stored)).toEqual([]);
  const keyed = written.filter(({ id }) => id % 2 === 0);
  expect(keyed.map(({ outcome }) => outcome.type)).toEqual(keyed.map(() => "answered"));
  await closeAll(clients);
});

// The owner is paused for longer than its peers wait, while writes of its own callers are running.
// Another proxy takes over the group, starts a new term and commits writes. Then the paused owner
// resumes: it must not acknowledge a write that is not stored, must not interrupt the work of the new
// owner, and must serve its callers again.
test("a resumed owner acknowledges no lost write and interrupts nothing", async () => {
  system = await startLedger({ lagMs: 100 });
  const { owner, others } = await findOwner(system);
  const [near] = others;
  if (near === undefined) throw new Error("no other proxy");
  const paused = await connectMany(owner, writers);
  const clients = await connectMany(near, 2);
  const early = paused.map((client, id) => writeSeat(client, id, id % 2 === 0));
  await sleep(20);
  owner.child.send("SIGSTOP");
  const during = await writeUntilAcknowledged(clients, 100);
  owner.child.send("SIGCONT");
  const after = await writeMany(clients, 200, 10);
  const late = await writeMany(paused, 300, writers);
  const stored = await readSeats(system);
  const written = [...(await Promise.all(early)), ...during, ...after, ...late];
  expect(listFalseOutcomes(written, stored)).toEqual([]);
  expect(during.some(({ outcome }) => outcome.type === "answered")).toBe(true);
  expect([...after, ...late].filter(({ outcome }) => outcome.type !== "answered")).toEqual([]);
  await closeAll([...paused, ...clients]);
});

/** Writes keyed seats until one is acknowledged, which only a new owner can do. */
async function writeUntilAcknowledged(
  clients: readonly pg.Client[],
  from: number,
): Promise<Written[]> {
  const written: Written[] = [];
  await waitFor(async () => {
    const round = clients.map((c, i) => writeSeat(c, from + written.length + i, true));
    written.push(...(await Promise.all(round)));
    return written.some(({ outcome }) => outcome.type === "answered");
  });
  return written;
}

async function writeMany(
  clients: readonly pg.Client[],
  from: number,
  count: number,
): Promise<Written[]> {
  const written: Written[] = [];
  for (let i = 0; i < count; i += 1) {
    const client = clients[i % clients.length];
    if (client !== undefined) written.push(await writeSeat(client, from + i, true));
  }
  return written;
}
