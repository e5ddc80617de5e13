import { afterEach, expect, test } from "@jest/globals";
import { Client, Cluster, waitUntil } from "./cluster.js";

let cluster: Cluster;

afterEach(() => cluster.dispose());

const countRuns = (text: string) =>
  cluster.targets.flatMap((t) => t.runs).filter((run) => run.text === text).length;

test("a session writes and reads its own write; reads go to replicas", async () => {
  cluster = await Cluster.start();
  const client = await cluster.open("own");
  expect(await client.query("WRITE cello taken")).toMatch(/^COMPLETE i-0\.\S+\nREADY I$/);
  for (let i = 0; i < 4; i += 1) {
    expect(await client.query("READ cello")).toMatch(
      /^DATAROW taken\nCOMPLETE i-[12]\.\S+\nREADY I$/,
    );
  }
});

test("a database that no route names is refused", async () => {
  cluster = await Cluster.start();
  const client = await Client.connect(cluster.settings[0]?.callers ?? { host: "", port: 0 });
  client.send("STARTUP nowhere u1\r\n");
  expect(await client.read()).toBe("ERROR NODB no database nowhere");
  await waitUntil(() => client.isClosed);
});

test("a removed route ends at the next statement, and the session stays", async () => {
  cluster = await Cluster.start();
  const client = await cluster.open("stale");
  expect(await client.query("READ viola")).toMatch(/^DATAROW/);
  cluster.setRoutes({ without: "stale" });
  await waitUntil(async () => (await client.query("READ viola")).startsWith("ERROR NODB"));
  expect(await client.query("SET a 1")).toBe("COMPLETE -\nREADY I");
});

// Two callers set the same value and prepare the same name differently. Their statements share the
// targets' few connections, so that without care one's would run with the other's value or shape.
test("values and prepared names of sessions do not mix", async () => {
  cluster = await Cluster.start({ targets: 1, slots: 8 });
  const clients = await Promise.all([1, 2, 3, 4].map(() => cluster.open("primary")));
  await Promise.all(
    clients.map(async (client, i) => {
      await client.query(`SET shop ${i}`);
      await client.query(`PREPARE s1 ${i % 2 === 0 ? "READ" : "WRITE"} q${i}`);
    }),
  );
  for (let round = 0; round < 5; round += 1) {
    const answers = await Promise.all(
      clients.map((client, i) => client.query(`EXECUTE s1 item${i}${i % 2 === 0 ? "" : " data"}`)),
    );
    for (const answer of answers) expect(answer).toContain("COMPLETE i-0.");
  }
  for (const run of cluster.target(0).runs) {
    const item = /item(\d)/.exec(run.text)?.[1];
    expect(run.values).toEqual({ shop: item });
    const shape = Buffer.from(`q${item ?? ""}`).toString("hex");
    expect(run.text).toContain(`_${shape} `);
  }
});

test("a transaction stays on one connection and is kept only by its commit", async () => {
  cluster = await Cluster.start();
  const client = await cluster.open("primary");
  expect(await client.query("BEGIN")).toBe("COMPLETE -\nREADY T");
  expect(await client.query("WRITE cello taken")).toMatch(/^COMPLETE i-0\.\S+\nREADY T$/);
  expect(await client.query("READ cello")).toMatch(/^DATAROW taken/);
  expect(await client.query("ROLLBACK")).toBe("COMPLETE -\nREADY I");
  expect(await client.query("READ cello")).toMatch(/^DATAROW none/);
  await client.query("BEGIN");
  await client.query("WRITE cello gone");
  expect(await client.query("COMMIT")).toMatch(/^COMPLETE i-0\.\S+\nREADY I$/);
  expect(await client.query("READ cello")).toMatch(/^DATAROW gone/);
  const inside = cluster.target(0).runs.filter((run) => run.transaction > 0);
  for (const number of new Set(inside.map((run) => run.transaction))) {
    const own = inside.filter((run) => run.transaction === number);
    expect(new Set(own.map((run) => run.connection)).size).toBe(1);
  }
});

// The caller leaves in the middle of a transaction. Its connection is given to the next caller, and
// what the first wrote must be neither kept nor seen.
test("a transaction whose caller leaves is rolled back", async () => {
  cluster = await Cluster.start({ targets: 1 });
  const first = await cluster.open("primary");
  await first.query("BEGIN");
  await first.query("WRITE cello taken");
  first.close();
  const second = await cluster.open("primary");
  await waitUntil(async () => (await second.query("READ cello")).startsWith("DATAROW none"));
  expect(cluster.log.findPrimary()?.log).toEqual([]);
});

// The target commits a single write and its answer is lost. The caller hears that it may have run;
// sent again here it would land twice.
test("a write whose answer is lost is in doubt and not sent again", async () => {
  cluster = await Cluster.start();
  const client = await cluster.open("primary");
  cluster.target(0).faults.loseAnswer = /^WRITE/;
  expect(await client.query("WRITE cello taken")).toMatch(/^ERROR INDOUBT .*\nREADY I$/);
  expect(countRuns("WRITE cello taken")).toBe(1);
  expect(cluster.log.findPrimary()?.log).toHaveLength(1);
});

// The commit of a transaction that wrote gets no answer: it may have been kept. One that only read
// leaves nothing behind either way, so that its caller may safely begin again.
test("a lost commit is in doubt only if the transaction wrote", async () => {
  cluster = await Cluster.start();
  const client = await cluster.open("primary");
  cluster.target(0).faults.loseAnswer = /^COMMIT/;
  await client.query("BEGIN");
  await client.query("READ cello");
  expect(await client.query("COMMIT")).toMatch(/^ERROR ABORTED .*\nREADY I$/);
  await client.query("BEGIN");
  await client.query("WRITE cello taken");
  expect(await client.query("COMMIT")).toMatch(/^ERROR INDOUBT .*\nREADY I$/);
});

// A replica runs a read and its answer is lost; the connection stays silent. A read leaves no
// effect, so the proxy asks the other replica while the caller's time lasts.
test("a read whose answer is lost is asked elsewhere", async () => {
  cluster = await Cluster.start();
  const client = await cluster.open("stale");
  await client.query("READ viola");
  cluster.target(1).faults.loseAnswer = /READ/;
  cluster.target(2).faults.loseAnswer = undefined;
  for (let i = 0; i < 6; i += 1) expect(await client.query("READ viola")).toMatch(/^DATAROW none/);
});

// Every slot is taken and the target turns the write away unrun: another try a little later finds
// one, and the caller notices nothing but the time.
test("what a target turns away unrun is tried again", async () => {
  cluster = await Cluster.start();
  const client = await cluster.open("primary");
  cluster.target(0).faults.busy = 3;
  expect(await client.query("WRITE cello taken")).toMatch(/^COMPLETE/);
  expect(countRuns("WRITE cello taken")).toBe(1);
});

// A replica lacks the session's own commit, since nothing is copied. It says so, and the read is
// answered by the primary.
test("a replica that lacks the session's write is passed over", async () => {
  cluster = await Cluster.start();
  cluster.log.isCopying = false;
  const client = await cluster.open("own");
  await client.query("WRITE cello taken");
  for (let i = 0; i < 3; i += 1) {
    expect(await client.query("READ cello")).toMatch(/^DATAROW taken\nCOMPLETE i-0/);
  }
});

// Both replicas receive nothing any more. A stale read may see data of a stated age, so that it goes
// to the primary once what the replicas hold is older than that.
test("a stale read is never older than its route allows", async () => {
  cluster = await Cluster.start();
  const reader = await cluster.open("stale");
  const writer = await cluster.open("primary");
  await reader.query("READ cello");
  cluster.log.isCopying = false;
  await writer.query("WRITE cello taken");
  const writtenAt = Date.now();
  let answer = "";
  while (Date.now() - writtenAt < 1500) answer = await reader.query("READ cello");
  answer = await reader.query("READ cello");
  expect(answer).toMatch(/^DATAROW taken/);
});

test("an error in a transaction can only be rolled back", async () => {
  cluster = await Cluster.start();
  const client = await cluster.open("primary");
  await client.query("BEGIN");
  expect(await client.query("EXECUTE s9 x")).toMatch(/^ERROR NOSUCHSTMT/);
  await client.query("READ x");
  cluster.target(0).faults.loseAnswer = /^READ/;
  expect(await client.query("READ x")).toMatch(/^ERROR ABORTED .*\nREADY E$/);
  cluster.target(0).faults.loseAnswer = undefined;
  expect(await client.query("READ x")).toMatch(/^ERROR MALFORMED .*\nREADY E$/);
  expect(await client.query("ROLLBACK")).toBe("COMPLETE -\nREADY I");
  expect(await client.query("READ x")).toMatch(/^DATAROW/);
});

test.each([
  ["a line that is not of the protocol", "HELLO there\r\n", "ERROR MALFORMED"],
  [
    "a lone line feed inside a statement",
    "QUERY a1 READ x\nQUERY a2 WRITE y z\r\n",
    "ERROR MALFORMED",
  ],
  ["a lone carriage return", "QUERY a1 READ x\ry\r\n", "ERROR MALFORMED"],
  ["a line over the limit", `QUERY a1 WRITE x ${"y".repeat(1_048_600)}\r\n`, "ERROR TOOBIG"],
  ["half a line and silence", "QUERY a1 READ", "ERROR MALFORMED"],
  ["a second start", "STARTUP primary u1\r\n", "ERROR MALFORMED"],
])("%s is refused and ends the session", async (_name, bytes, error) => {
  cluster = await Cluster.start({ targets: 1 });
  const client = await cluster.open("primary");
  client.send(bytes);
  expect(await client.read()).toContain(error);
  await waitUntil(() => client.isClosed);
  expect(cluster.target(0).runs).toEqual([]);
});

test("a statement that can't be read is answered and the session goes on", async () => {
  cluster = await Cluster.start({ targets: 1 });
  const client = await cluster.open("primary");
  expect(await client.query("FROB x")).toMatch(/^ERROR MALFORMED .*\nREADY I$/);
  expect(await client.query("READ x")).toMatch(/^DATAROW none/);
});

test("a node without the store says that it is busy, not that a database is unknown", async () => {
  cluster = await Cluster.start({ nodes: 0 });
  cluster.store.isBusy = true;
  await cluster.addNode("vm-0");
  const client = await Client.connect(cluster.settings[0]?.callers ?? { host: "", port: 0 });
  client.send("STARTUP primary u1\r\n");
  expect(await client.read()).toMatch(/^ERROR BUSY not run: no configuration yet/);
});
