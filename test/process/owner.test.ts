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

// Eight callers of another proxy each write one seat, half of them under a key; the replicas lag, so
// that a write waits for its confirmation. Then the owner is killed and its peers take over.
// Nobody can tell what became of a write that the owner had begun: a keyed one is sent again and
// lands once; one without hears that it may have run, or is promised that it has not.
test("a killed owner leaves no caller with an untrue verdict", async () => {
  system = await startLedger({ lagMs: 300 });
  const { owner, others } = await findOwner(system);
  const [near] = others;
  if (near === undefined) throw new Error("no other proxy");
  const clients = await connectMany(near, writers);
  const writing = clients.map((client, id) => writeSeat(client, id, id % 2 === 0));
  await waitFor(() => owner.child.lines.filter((l) => l.name === "requestPlaced").length > 1);
  owner.child.send("SIGKILL");
  const written = await Promise.all(writing);
  const held = await readSeats(system);
  expect(listFalseOutcomes(written, held)).toEqual([]);
  const keyed = written.filter(({ id }) => id % 2 === 0);
  expect(keyed.map(({ outcome: told }) => told.type)).toEqual(keyed.map(() => "answered"));
  await closeAll(clients);
});

// The owner is paused for longer than its peers' patience with writes of its own callers under way.
// Another takes the group over, opens a term of its own and lands writes. Then the paused one goes
// on as if nothing had happened: it may acknowledge nothing that is not kept, cut nothing of the new
// owner's work off, and must serve its callers again.
test("an owner that was paused acknowledges nothing stale and cuts nothing", async () => {
  system = await startLedger({ lagMs: 100 });
  const { owner, others } = await findOwner(system);
  const [near] = others;
  if (near === undefined) throw new Error("no other proxy");
  const paused = await connectMany(owner, writers);
  const clients = await connectMany(near, 2);
  const early = paused.map((client, id) => writeSeat(client, id, id % 2 === 0));
  await sleep(20);
  owner.child.send("SIGSTOP");
  const during = await writeUntilTaken(clients, 100);
  owner.child.send("SIGCONT");
  const after = await writeMany(clients, 200, 10);
  const late = await writeMany(paused, 300, writers);
  const held = await readSeats(system);
  const written = [...(await Promise.all(early)), ...during, ...after, ...late];
  expect(listFalseOutcomes(written, held)).toEqual([]);
  expect(during.some(({ outcome: told }) => told.type === "answered")).toBe(true);
  expect([...after, ...late].filter(({ outcome: told }) => told.type !== "answered")).toEqual([]);
  await closeAll([...paused, ...clients]);
});

/** Writes keyed seats until one is acknowledged, which another proxy must have done. */
async function writeUntilTaken(clients: readonly pg.Client[], from: number): Promise<Written[]> {
  const written: Written[] = [];
  await waitFor(async () => {
    const round = clients.map((c, i) => writeSeat(c, from + written.length + i, true));
    written.push(...(await Promise.all(round)));
    return written.some(({ outcome: told }) => told.type === "answered");
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
