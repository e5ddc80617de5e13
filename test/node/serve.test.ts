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

test("a statement on a removed route is refused, and the session stays open", async () => {
  cluster = await Cluster.start();
  const client = await cluster.open("stale");
  expect(await client.query("READ viola")).toMatch(/^DATAROW/);
  cluster.setRoutes({ without: "stale" });
  await waitUntil(async () => (await client.query("READ viola")).startsWith("ERROR NODB"));
  expect(await client.query("SET a 1")).toBe("COMPLETE -\nREADY I");
});

// Callers set the same session value and prepare the same name differently. Their statements share few
// connections, so that one caller's statement could run with another's value or prepared statement.
test("session values and prepared statements are kept apart", async () => {
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

test("a transaction stays on one connection and only its commit makes it durable", async () => {
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

// A caller disconnects during a transaction. Its connection to the target is used for the next caller, and the
// first caller's writes must be neither committed nor visible.
test("a transaction whose caller disconnects is rolled back", async () => {
  cluster = await Cluster.start({ targets: 1 });
  const first = await cluster.open("primary");
  await first.query("BEGIN");
  await first.query("WRITE cello taken");
  first.close();
  const second = await cluster.open("primary");
  await waitUntil(async () => (await second.query("READ cello")).startsWith("DATAROW none"));
  expect(cluster.log.findPrimary()?.log).toEqual([]);
});

// The target commits a single write and its answer is lost. The caller is told that it may have run; a retry
// by the proxy would apply the write twice.
test("a write whose answer is lost is in doubt and not sent again", async () => {
  cluster = await Cluster.start();
  const client = await cluster.open("primary");
  cluster.target(0).faults.loseAnswer = /^WRITE/;
  expect(await client.query("WRITE cello taken")).toMatch(/^ERROR INDOUBT .*\nREADY I$/);
  expect(countRuns("WRITE cello taken")).toBe(1);
  expect(cluster.log.findPrimary()?.log).toHaveLength(1);
});

// A commit gets no answer. If the transaction wrote, its effects may be durable; if it only read, it has no
// effects, so that its caller may safely retry.
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

// A replica runs a read and its answer is lost without an error. A read has no effects, so the proxy sends it to
// the other replica within the caller's deadline.
test("a read whose answer is lost is retried at another replica", async () => {
  cluster = await Cluster.start();
  const client = await cluster.open("stale");
  await client.query("READ viola");
  cluster.target(1).faults.loseAnswer = /READ/;
  cluster.target(2).faults.loseAnswer = undefined;
  for (let i = 0; i < 6; i += 1) expect(await client.query("READ viola")).toMatch(/^DATAROW none/);
});

// All slots are taken and the target refuses the write without running it. A later attempt finds a free slot,
// and the caller only sees a longer response time.
test("a statement that a target refuses without running it is retried", async () => {
  cluster = await Cluster.start();
  const client = await cluster.open("primary");
  cluster.target(0).faults.busy = 3;
  expect(await client.query("WRITE cello taken")).toMatch(/^COMPLETE/);
  expect(countRuns("WRITE cello taken")).toBe(1);
});

// A replica lacks the session's own commit, since replication has stopped. It reports that, and the primary
// answers the read.
test("a read is not answered by a replica that lacks the session's write", async () => {
  cluster = await Cluster.start();
  cluster.log.isCopying = false;
  const client = await cluster.open("own");
  await client.query("WRITE cello taken");
  for (let i = 0; i < 3; i += 1) {
    expect(await client.query("READ cello")).toMatch(/^DATAROW taken\nCOMPLETE i-0/);
  }
});

// Replication to both replicas has stopped. A stale read may see data up to a certain age, so it is sent to the
// primary once the replicas' data is older.
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

test("a transaction with an error can only be rolled back", async () => {
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
  ["an incomplete line", "QUERY a1 READ", "ERROR MALFORMED"],
  ["a second start", "STARTUP primary u1\r\n", "ERROR MALFORMED"],
])("%s is refused and ends the session", async (_name, bytes, error) => {
  cluster = await Cluster.start({ targets: 1 });
  const client = await cluster.open("primary");
  client.send(bytes);
  expect(await client.read()).toContain(error);
  await waitUntil(() => client.isClosed);
  expect(cluster.target(0).runs).toEqual([]);
});

test("a malformed statement is answered with an error and the session stays open", async () => {
  cluster = await Cluster.start({ targets: 1 });
  const client = await cluster.open("primary");
  expect(await client.query("FROB x")).toMatch(/^ERROR MALFORMED .*\nREADY I$/);
  expect(await client.query("READ x")).toMatch(/^DATAROW none/);
});

test("a node that has never reached the store answers busy and not that the database is unknown", async () => {
  cluster = await Cluster.start({ nodes: 0 });
  cluster.store.isBusy = true;
  await cluster.addNode("vm-0");
  const client = await Client.connect(cluster.settings[0]?.callers ?? { host: "", port: 0 });
  client.send("STARTUP primary u1\r\n");
  expect(await client.read()).toMatch(/^ERROR BUSY not run: no configuration yet/);
});
