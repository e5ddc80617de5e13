import { afterEach, expect, test } from "@jest/globals";
import { DisposableStore } from "../../src/model/index.js";
import { PgTargetConnector } from "../../src/target/index.js";
import type { StandinTarget, StandinTargetOptions } from "../../standin/target/index.js";
import { connectTo, findState, followIn, startGroup, term, waitStatus } from "./build.js";

let store = new DisposableStore();

afterEach(async () => {
  await store.dispose();
  store = new DisposableStore();
});

async function start(options: Partial<StandinTargetOptions> = {}, count = 1) {
  const all = await startGroup(count, options);
  for (const target of all) store.add(target);
  return all as [StandinTarget, StandinTarget, StandinTarget];
}

async function connect(target: StandinTarget) {
  const client = await connectTo(target);
  store.defer(() => client.end().catch(() => undefined));
  return client;
}

const create = "CREATE TABLE seat (id int PRIMARY KEY, holder text NOT NULL, n int DEFAULT 0)";

test("simple and extended queries answer what was written", async () => {
  const [target] = await start();
  const client = await connect(target);
  await client.query(create);
  const insert =
    "INSERT INTO seat (id, holder) VALUES ($1, $2), (2, 'ion') RETURNING id, holder, n";
  const { rows } = await client.query(insert, [1, "ana"]);
  expect(rows).toEqual([
    { id: 1, holder: "ana", n: 0 },
    { id: 2, holder: "ion", n: 0 },
  ]);
  await client.query("UPDATE seat SET n = n + 2 WHERE id = 2 AND holder LIKE 'i%'");
  const found = await client.query(
    "SELECT holder, n FROM seat WHERE id IN (1, 2) ORDER BY id DESC LIMIT 1",
  );
  expect(found.rows).toEqual([{ holder: "ion", n: 2 }]);
  const count = await client.query("SELECT count(*) FROM seat WHERE n > $1::int", [1]);
  expect(count.rows).toEqual([{ count: "1" }]);
  await client.query("DELETE FROM seat");
  expect((await client.query("SELECT 1 FROM seat")).rowCount).toBe(0);
});

test("errors carry their SQLSTATE and leave the connection usable", async () => {
  const [target] = await start();
  const client = await connect(target);
  await client.query(create);
  await client.query("INSERT INTO seat VALUES (1, 'ana')");
  expect(await findState(client.query("INSERT INTO seat VALUES (1, 'ion')"))).toBe("23505");
  expect(await findState(client.query("INSERT INTO seat VALUES ($1)", [3]))).toBe("23502");
  expect(await findState(client.query("SELECT * FROM seats"))).toBe("42P01");
  expect(await findState(client.query("SELEC 1"))).toBe("42601");
  expect(await findState(client.query("SELECT 1 FROM seat JOIN seat b ON true"))).toBe("0A000");
  const again = "INSERT INTO seat VALUES (1, 'ion') ON CONFLICT (id) DO NOTHING";
  expect((await client.query(again)).rowCount).toBe(0);
});

test("a transaction is private until it commits as one record", async () => {
  const [target] = await start();
  const [a, b] = [await connect(target), await connect(target)];
  await a.query(create);
  const { offset } = target.member.status.mark;
  await a.query("BEGIN");
  await a.query("INSERT INTO seat VALUES (1, 'ana')");
  await a.query("INSERT INTO seat VALUES (2, 'ana')");
  expect((await b.query("SELECT * FROM seat")).rowCount).toBe(0);
  await a.query("COMMIT");
  expect((await b.query("SELECT * FROM seat")).rowCount).toBe(2);
  expect(target.member.status.mark.offset).toBe(offset + 1);
});

// Two callers change one row at once. Both transactions read it before either commits; the second
// commit would undo the first one's change, so it is refused and leaves nothing behind.
test("of two transactions that change one row the second fails", async () => {
  const [target] = await start();
  const [a, b] = [await connect(target), await connect(target)];
  await a.query(`${create}; INSERT INTO seat VALUES (1, 'ana')`);
  for (const client of [a, b]) await client.query("BEGIN");
  for (const client of [a, b]) await client.query("UPDATE seat SET n = n + 1 WHERE id = 1");
  expect(await findState(a.query("COMMIT"))).toBe("COMMIT");
  expect(await findState(b.query("COMMIT"))).toBe("40001");
  expect((await a.query("SELECT n FROM seat")).rows).toEqual([{ n: 1 }]);
});

test("a replica copies after its lag, answers reads and refuses writes", async () => {
  const [primary, replica] = await start({}, 2);
  replica.setLag(3_600_000);
  const [a, b] = [await connect(primary), await connect(replica)];
  await a.query(create);
  expect(replica.member.status.mark.offset).toBe(0);
  replica.setLag(0);
  await waitStatus(replica, (s) => s.mark.offset === 1);
  expect(await findState(b.query("INSERT INTO seat VALUES (1, 'ana')"))).toBe("25006");
  expect((await b.query("SELECT * FROM seat")).rowCount).toBe(0);
});

// The caller's COMMIT fails: its transaction began on a primary that a promoter has fenced since.
// Were it to succeed, the write would be acknowledged by a superseded primary and cut off later.
test("an open transaction can't commit on a fenced primary", async () => {
  const [target] = await start();
  const client = await connect(target);
  await client.query(create);
  await client.query("BEGIN; INSERT INTO seat VALUES (1, 'ana') /* tag */");
  expect(target.member.fence(term(1)).type).toBe("accepted");
  expect(await findState(client.query("COMMIT"))).toBe("25006");
  expect(target.statements.list("tag").map((s) => s.fate.type)).toEqual(["rolledBack"]);
  expect(target.member.promote(term(2)).type).toBe("refused");
});

// A primary commits a record that no replica got; it is fenced off and another is promoted.
// When it comes back as a replica, its own record must go: the new term branched off before it.
test("a superseded primary cuts off its own end when it follows its successor", async () => {
  const [a, b, c] = await start({}, 3);
  const client = await connect(a);
  await client.query(create);
  for (const t of [b, c]) await waitStatus(t, (s) => s.mark.offset === 1);
  for (const t of [b, c]) t.member.fence(term(1));
  await client.query("INSERT INTO seat VALUES (1, 'lost')");
  expect(b.member.promote(term(1))).toMatchObject({
    type: "accepted",
    status: { mark: { term: term(1), offset: 2 }, role: "primary" },
  });
  await (await connect(b)).query("INSERT INTO seat VALUES (2, 'kept')");
  for (const t of [a, c]) expect(followIn(t, b, term(1)).type).toBe("accepted");
  for (const t of [a, c]) {
    await waitStatus(t, (s) => s.mark.offset === 3 && s.mark.term.round === 1);
    expect(t.member.status.lineage).toEqual(b.member.status.lineage);
    const { rows } = await (await connect(t)).query("SELECT holder FROM seat");
    expect(rows).toEqual([{ holder: "kept" }]);
  }
});

test("statements beyond the slots wait, and connections beyond the limit are refused", async () => {
  const [target] = await start({ slots: 1, connections: 2 });
  const [a, b] = [await connect(target), await connect(target)];
  await expect(connect(target)).rejects.toMatchObject({ code: "53300" });
  const order: string[] = [];
  const slow = a.query("SELECT pg_sleep(0.05)").then(() => order.push("slow"));
  const fast = b.query("SELECT 1").then(() => order.push("fast"));
  await Promise.all([slow, fast]);
  expect(order).toEqual(["slow", "fast"]);
});

test("a large answer comes whole", async () => {
  const [target] = await start();
  const client = await connect(target);
  const { rows } = await client.query(
    "SELECT i, repeat('x', 50) AS x FROM generate_series(1, 20000) AS g(i)",
  );
  expect(rows).toHaveLength(20_000);
  expect(rows[19_999]).toEqual({ i: 20_000, x: "x".repeat(50) });
});

// The caller sees its connection break at COMMIT and can't tell what happened. The commit took
// effect before the answer was lost, so a repeat without a key would write twice.
test("a lost answer leaves the commit in force", async () => {
  const [target] = await start();
  const client = await connect(target);
  await client.query(create);
  target.faults.loseCommitAnswers(1, "break");
  await expect(client.query("INSERT INTO seat VALUES (1, 'ana')")).rejects.toThrow();
  expect((await (await connect(target)).query("SELECT * FROM seat")).rowCount).toBe(1);
});

test("after a kill the log is what it was", async () => {
  const [target] = await start();
  const client = await connect(target);
  await client.query(create);
  await target.kill();
  await expect(connect(target)).rejects.toThrow();
  await target.start();
  expect((await (await connect(target)).query("SELECT * FROM seat")).rowCount).toBe(0);
});

test("a frozen target answers once it goes on; a silenced connection never does", async () => {
  const [target] = await start();
  const client = await connect(target);
  target.faults.running.close();
  const answer = client.query("SELECT 1 AS one");
  await expect(new PgTargetConnector().open(target.target, "ledger", 30)).rejects.toThrow(
    "in time",
  );
  expect(target.statements.list("AS one")).toEqual([]);
  target.faults.running.open();
  expect((await answer).rows).toEqual([{ one: 1 }]);
  target.silenceConnections();
  const silent = client.query("SELECT 'never'");
  silent.catch(() => undefined);
  expect((await (await connect(target)).query("SELECT 2 AS two")).rows).toEqual([{ two: 2 }]);
  expect(target.statements.list("never")).toEqual([]);
});

// A replica is fenced while a superseded primary's record is on its way. Were it copied, the write
// would seem replicated, though the new term's log is counted without it.
test("a fenced replica takes no record of an older term", async () => {
  const [a, b, c] = await start({}, 3);
  const client = await connect(a);
  b.setLag(3_600_000);
  await client.query(create);
  await waitStatus(c, (s) => s.mark.offset === 1);
  b.member.fence(term(1));
  b.setLag(0);
  await client.query("INSERT INTO seat VALUES (1, 'ana')");
  await waitStatus(c, (s) => s.mark.offset === 2);
  expect(b.member.status.mark.offset).toBe(0);
});

// The target is fenced and promoted again while a caller's transaction is open. In between another
// target may have led and committed; what the transaction read then no longer holds.
test("a transaction does not outlive the term it began in", async () => {
  const [target] = await start();
  const client = await connect(target);
  await client.query(`${create}; INSERT INTO seat VALUES (1, 'ana')`);
  await client.query("BEGIN; UPDATE seat SET n = 1 WHERE id = 1");
  target.member.fence(term(1));
  target.member.promote(term(1));
  expect(await findState(client.query("COMMIT"))).toBe("25006");
});
