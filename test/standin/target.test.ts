import { afterEach, expect, test } from "@jest/globals";
import { DisposableStore } from "../../src/model/index.js";
import { PgTargetConnector } from "../../src/target/index.js";
import type { StandinTarget, StandinTargetOptions } from "../../standin/target/index.js";
import {
  connectTo,
  findSqlState,
  followInTerm,
  startTargets,
  term,
  waitForStatus,
} from "./build.js";

let store = new DisposableStore();

afterEach(async () => {
  await store.dispose();
  store = new DisposableStore();
});

async function start(options: Partial<StandinTargetOptions> = {}, count = 1) {
  const all = await startTargets(store, count, options);
  return all as [StandinTarget, StandinTarget, StandinTarget];
}

async function connect(target: StandinTarget) {
  const client = await connectTo(target);
  store.defer(() => client.end().catch(() => undefined));
  return client;
}

const create = "CREATE TABLE seat (id int PRIMARY KEY, holder text NOT NULL, n int DEFAULT 0)";

test("simple and extended queries return the rows that were written", async () => {
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
  expect(await findSqlState(client.query("INSERT INTO seat VALUES (1, 'ion')"))).toBe("23505");
  expect(await findSqlState(client.query("INSERT INTO seat VALUES ($1)", [3]))).toBe("23502");
  expect(await findSqlState(client.query("SELECT * FROM seats"))).toBe("42P01");
  expect(await findSqlState(client.query("SELEC 1"))).toBe("42601");
  expect(await findSqlState(client.query("SELECT 1 FROM seat JOIN seat b ON true"))).toBe("0A000");
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

async function waitUntilBlocked(target: StandinTarget, part: string) {
  while (!target.statements.list(part).some((s) => s.fate.type === "waited")) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

// Two transactions update one row concurrently. The second must wait for the first to commit and
// then update the new value; if it ran at once, its commit would overwrite the first one's update.
test("a concurrent update of a locked row waits, and neither update is lost", async () => {
  const [target] = await start({ slots: 1 });
  const [a, b] = [await connect(target), await connect(target)];
  await a.query(`${create}; INSERT INTO seat VALUES (1, 'ana')`);
  for (const client of [a, b]) await client.query("BEGIN");
  await a.query("UPDATE seat SET n = n + 1 WHERE id = 1");
  const second = b.query("UPDATE seat SET n = n + 1 WHERE id = 1 /* second */");
  await waitUntilBlocked(target, "second");
  await a.query("COMMIT");
  expect((await second).rowCount).toBe(1);
  await b.query("COMMIT");
  expect((await a.query("SELECT n FROM seat")).rows).toEqual([{ n: 2 }]);
});

test("a serializable transaction fails to update a row changed since it began", async () => {
  const [target] = await start();
  const [a, b] = [await connect(target), await connect(target)];
  await a.query(`${create}; INSERT INTO seat VALUES (1, 'ana')`);
  await b.query("BEGIN ISOLATION LEVEL SERIALIZABLE");
  await a.query("UPDATE seat SET n = 5 WHERE id = 1");
  expect(await findSqlState(b.query("UPDATE seat SET n = 1 WHERE id = 1"))).toBe("40001");
  expect(await findSqlState(b.query("COMMIT"))).toBe("ROLLBACK");
  expect((await a.query("SELECT n FROM seat")).rows).toEqual([{ n: 5 }]);
});

// Two proxies insert the same key concurrently. If the second continued before the first ended, it
// would run the write as well and fail on the first one's rows, instead of finding its recorded
// answer.
test.each([
  ["COMMIT", 0],
  ["ROLLBACK", 1],
])("an insert of a key waits for an earlier insert of it, ended by %s", async (end, rows) => {
  const [target] = await start();
  const [a, b] = [await connect(target), await connect(target)];
  await a.query(create);
  await a.query("BEGIN; INSERT INTO seat VALUES (1, 'ana')");
  const claim = b.query("INSERT INTO seat VALUES (1, 'ion') ON CONFLICT DO NOTHING /* claim */");
  await waitUntilBlocked(target, "claim");
  await a.query(end);
  expect((await claim).rowCount).toBe(rows);
});

test("a deadlock between two transactions fails one of them", async () => {
  const [target] = await start();
  const [a, b] = [await connect(target), await connect(target)];
  await a.query(`${create}; INSERT INTO seat VALUES (1, 'ana'), (2, 'ion')`);
  await a.query("BEGIN; UPDATE seat SET n = 1 WHERE id = 1");
  await b.query("BEGIN; UPDATE seat SET n = 2 WHERE id = 2");
  const first = a.query("UPDATE seat SET n = 1 WHERE id = 2 /* first */");
  await waitUntilBlocked(target, "first");
  expect(await findSqlState(b.query("UPDATE seat SET n = 2 WHERE id = 1"))).toBe("40P01");
  await b.query("ROLLBACK");
  expect((await first).rowCount).toBe(1);
  await a.query("COMMIT");
  expect((await b.query("SELECT n FROM seat")).rows).toEqual([{ n: 1 }, { n: 1 }]);
});

test("a replica applies records after its lag, serves reads and rejects writes", async () => {
  const [primary, replica] = await start({}, 2);
  replica.setLag(3_600_000);
  const [a, b] = [await connect(primary), await connect(replica)];
  await a.query(create);
  expect(replica.member.status.mark.offset).toBe(0);
  replica.setLag(0);
  await waitForStatus(replica, (s) => s.mark.offset === 1);
  expect(await findSqlState(b.query("INSERT INTO seat VALUES (1, 'ana')"))).toBe("25006");
  expect((await b.query("SELECT * FROM seat")).rowCount).toBe(0);
});

// A transaction is open when its primary is fenced. If its COMMIT succeeded, a superseded primary
// would acknowledge a write that is later truncated from its log.
test("an open transaction can't commit on a fenced primary", async () => {
  const [target] = await start();
  const client = await connect(target);
  await client.query(create);
  await client.query("BEGIN; INSERT INTO seat VALUES (1, 'ana') /* tag */");
  expect(target.member.fence(term(1)).type).toBe("accepted");
  expect(await findSqlState(client.query("COMMIT"))).toBe("25006");
  expect(target.statements.list("tag").map((s) => s.fate.type)).toEqual(["rolledBack"]);
  expect(target.member.promote(term(2)).type).toBe("refused");
});

// Both replicas are fenced, so that a commit of the primary reaches neither, and one of them is
// promoted. When the old primary becomes a replica, it must drop its record: the new term's branch
// starts before it.
test("a superseded primary drops its diverged records when it follows its successor", async () => {
  const [a, b, c] = await start({}, 3);
  const client = await connect(a);
  await client.query(create);
  for (const t of [b, c]) await waitForStatus(t, (s) => s.mark.offset === 1);
  for (const t of [b, c]) t.member.fence(term(1));
  await client.query("INSERT INTO seat VALUES (1, 'lost')");
  expect(b.member.promote(term(1))).toMatchObject({
    type: "accepted",
    status: { mark: { term: term(1), offset: 2 }, role: "primary" },
  });
  await (await connect(b)).query("INSERT INTO seat VALUES (2, 'kept')");
  for (const t of [a, c]) expect(followInTerm(t, b, term(1)).type).toBe("accepted");
  for (const t of [a, c]) {
    await waitForStatus(t, (s) => s.mark.offset === 3 && s.mark.term.round === 1);
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

test("a large result arrives completely", async () => {
  const [target] = await start();
  const client = await connect(target);
  const { rows } = await client.query(
    "SELECT i, repeat('x', 50) AS x FROM generate_series(1, 20000) AS g(i)",
  );
  expect(rows).toHaveLength(20_000);
  expect(rows[19_999]).toEqual({ i: 20_000, x: "x".repeat(50) });
});

// The connection breaks at COMMIT and the caller can't tell whether it took effect. It did before
// the answer was lost, so that a retry without a key would write twice.
test("a commit whose answer is lost still takes effect", async () => {
  const [target] = await start();
  const client = await connect(target);
  await client.query(create);
  target.faults.loseCommitAnswers(1, "break");
  await expect(client.query("INSERT INTO seat VALUES (1, 'ana')")).rejects.toThrow();
  expect((await (await connect(target)).query("SELECT * FROM seat")).rowCount).toBe(1);
});

// The target crashes while one statement holds a slot and another waits for one. Neither may commit
// after the restart: their callers saw the connection break and may have read the data since.
test("a kill keeps the log, and statements running at the time never commit", async () => {
  const [target] = await start({ slots: 1 });
  const [a, b] = [await connect(target), await connect(target)];
  await a.query(create);
  const slow = "SELECT pg_sleep(0.05); INSERT INTO seat VALUES (1, 'ana')";
  const lost = [a.query(slow), b.query("INSERT INTO seat VALUES (2, 'ion')")];
  const ended = Promise.allSettled(lost);
  while (target.slots.waiting === 0) await new Promise((resolve) => setImmediate(resolve));
  await target.kill();
  await expect(connect(target)).rejects.toThrow();
  await target.start();
  expect((await ended).map((e) => e.status)).toEqual(["rejected", "rejected"]);
  while (target.slots.busy > 0) await new Promise((resolve) => setImmediate(resolve));
  expect((await (await connect(target)).query("SELECT * FROM seat")).rowCount).toBe(0);
});

test("a replica reconnects to its primary after a network cut and after a restart", async () => {
  const [primary, replica] = await start({}, 2);
  replica.faults.replication.close();
  await (await connect(primary)).query(create);
  replica.faults.replication.open();
  await waitForStatus(replica, (s) => s.mark.offset === 1);
  await primary.kill();
  await primary.start();
  await (await connect(primary)).query("INSERT INTO seat VALUES (1, 'ana')");
  await waitForStatus(replica, (s) => s.mark.offset === 2);
});

test("a frozen target answers once it resumes; a silenced connection never does", async () => {
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

// A replica is fenced while a superseded primary's record is delayed. If it were copied, the write
// would seem replicated, although the new term's log is determined without it.
test("a fenced replica rejects records of an older term", async () => {
  const [a, b, c] = await start({}, 3);
  const client = await connect(a);
  b.setLag(3_600_000);
  await client.query(create);
  await waitForStatus(c, (s) => s.mark.offset === 1);
  b.member.fence(term(1));
  b.setLag(0);
  await client.query("INSERT INTO seat VALUES (1, 'ana')");
  await waitForStatus(c, (s) => s.mark.offset === 2);
  expect(b.member.status.mark.offset).toBe(0);
});

// The target is fenced and promoted again while a transaction is open. Another target may have been
// primary and committed in between, so that the transaction's reads may be outdated.
test("a transaction can't commit in a later term than it began in", async () => {
  const [target] = await start();
  const client = await connect(target);
  await client.query(`${create}; INSERT INTO seat VALUES (1, 'ana')`);
  await client.query("BEGIN; UPDATE seat SET n = 1 WHERE id = 1");
  target.member.fence(term(1));
  target.member.promote(term(1));
  expect(await findSqlState(client.query("COMMIT"))).toBe("25006");
});

// Only the answers are cut: the statement arrives and commits, and its answer is held up until the
// cut ends. A caller that times out meanwhile must not be told that its write did not run.
test("a statement takes effect while answers are cut", async () => {
  const [target] = await start();
  const client = await connect(target);
  await client.query(create);
  target.faults.statements.answers.close();
  const answer = client.query("INSERT INTO seat VALUES (1, 'ana')");
  await waitForStatus(target, (s) => s.mark.offset === 2);
  target.faults.statements.answers.open();
  expect((await answer).rowCount).toBe(1);
});
