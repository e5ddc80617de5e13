import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { runOnce, runSql, startGroup, type TestGroup } from "./group.js";

let group: TestGroup;

beforeEach(async () => {
  group = await startGroup(5);
  await runOnce(group.gateway, "write", "CREATE TABLE cello (id int PRIMARY KEY, family text)");
});

afterEach(() => group.dispose());

const patient = { action: { deadlineMs: 10_000, maxQueueMs: 10_000, retry: { attempts: 10 } } };

function getPrimary() {
  const [primary] = group.targets;
  if (primary === undefined) throw new Error("no targets");
  return primary;
}

async function countCellos(): Promise<string> {
  const read = await runOnce(group.gateway, "read", "SELECT count(*) FROM cello", {
    action: { route: { type: "primary" }, retry: { attempts: 10 } },
  });
  return read.text;
}

// The primary dies with an acknowledged write in its log. The next write meets a dead connection;
// its key lets the owner try it again. The owner fences the other two, promotes the one that holds
// the first write, and both are read, since the first was acknowledged by a majority.
test("an acknowledged write survives its primary, and writes go on", async () => {
  await runOnce(group.gateway, "write", "INSERT INTO cello VALUES (1, 'Rossi')");
  await getPrimary().kill();
  const next = await runOnce(group.gateway, "write", "INSERT INTO cello VALUES (2, 'Verdi')", {
    ...patient,
    key: "k2",
  });
  expect(next.outcome).toMatchObject({ type: "answered", servedBy: { role: "primary" } });
  expect(await countCellos()).toContain("2");
});

// The answer to the commit is lost and the connection breaks: nobody can tell whether it ran.
// The key's record is in the write's own transaction, so the owner asks again itself
// and the caller gets its one answer.
test("a keyed write whose commit was answered by silence still lands once", async () => {
  getPrimary().faults.loseCommitAnswers(1, "break");
  const sql = "INSERT INTO cello VALUES (1, 'Rossi') RETURNING id";
  const written = await runOnce(group.gateway, "write", sql, { ...patient, key: "k1" });
  expect(written.types).toBe("TDC");
  expect(await countCellos()).toContain("1");
});

// The same without a key: the statement may have run, and a second try could run it twice.
// The caller hears just that, and the statement has run once or not at all.
test("a write without a key whose answer was lost is not tried again", async () => {
  getPrimary().faults.loseCommitAnswers(1, "break");
  const sql = "INSERT INTO cello VALUES (1, 'Rossi')";
  const written = await runOnce(group.gateway, "write", sql, patient);
  expect(written.outcome).toMatchObject({ type: "failed", verdict: { type: "mayHaveRun" } });
  const ran = getPrimary()
    .statements.list()
    .filter((s) => s.text.includes("Rossi"));
  expect(ran).toHaveLength(1);
});

// Another owner, cut off from this one, has fenced and promoted; this owner's view is old and its
// primary still believes that it leads. The write commits nowhere or is not acknowledged here.
test("a superseded primary's write is not acknowledged", async () => {
  const [old, second, third] = group.targets;
  if (old === undefined || second === undefined || third === undefined) throw new Error("targets");
  const conversation = group.gateway.open("libro");
  await runSql(conversation, "write", "BEGIN", { transaction: true });
  await runSql(conversation, "write", "INSERT INTO cello VALUES (7, 'Costa')", {
    transaction: true,
  });
  const term = { round: 9, vm: "rival" };
  second.member.fence(term);
  third.member.fence(term);
  second.member.promote(term);
  const ended = await runSql(conversation, "write", "COMMIT", {
    transaction: true,
    action: { deadlineMs: 1500 },
  });
  expect(ended.outcome.type).toBe("failed");
  expect(ended.types).not.toContain("C");
});

// Two of three targets are gone: no majority can be fenced, so no failover can succeed.
// For a while a write waits, since most gaps are short; past that each is refused at once
// with the time to come back, long before its deadline, and nothing of it ran.
test("without a majority writes are refused at once, not held until their deadline", async () => {
  const [first, second] = group.targets;
  await first?.kill();
  await second?.kill();
  const long = { action: { deadlineMs: 20_000, maxQueueMs: 20_000, retry: { attempts: 10 } } };
  const sql = "INSERT INTO cello VALUES (8, 'Serra')";
  const waited = await runOnce(group.gateway, "write", sql, { ...long, key: "k8" });
  expect(waited.outcome).toMatchObject({ verdict: { type: "notRun", reason: "noPrimary" } });
  const refused = await runOnce(group.gateway, "write", sql, { ...long, key: "k8" });
  expect(refused.outcome).toMatchObject({ verdict: { type: "notRun", reason: "noPrimary" } });
});
