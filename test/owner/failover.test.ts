import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { runOnce, runSql, startGroup, type TestGroup } from "./group.js";

let group: TestGroup;

beforeEach(async () => {
  group = await startGroup(5);
  await runOnce(group.gateway, "write", "CREATE TABLE cello (id int PRIMARY KEY, family text)");
});

afterEach(() => group.dispose());

const patientOptions = {
  action: { deadlineMs: 10_000, maxQueueMs: 10_000, retry: { attempts: 10 } },
};

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

// The primary fails with an acknowledged write in its log. The next write's connection is broken, and its
// idempotency key lets the owner retry it. The owner fences the other two targets and promotes the one
// that holds the first write. Both writes are read, since a majority had acknowledged the first.
test("an acknowledged write survives the loss of its primary, and writes continue", async () => {
  await runOnce(group.gateway, "write", "INSERT INTO cello VALUES (1, 'Rossi')");
  await getPrimary().kill();
  const next = await runOnce(group.gateway, "write", "INSERT INTO cello VALUES (2, 'Verdi')", {
    ...patientOptions,
    key: "k2",
  });
  expect(next.outcome).toMatchObject({ type: "answered", servedBy: { role: "primary" } });
  expect(await countCellos()).toContain("2");
});

// The answer to the commit is lost and the connection breaks, so it is unknown whether the write ran. The
// record of its key is in the write's own transaction: the owner retries the write itself, and the caller
// receives one answer.
test("a keyed write whose commit got no answer runs once", async () => {
  getPrimary().faults.loseCommitAnswers(1, "break");
  const sql = "INSERT INTO cello VALUES (1, 'Rossi') RETURNING id";
  const written = await runOnce(group.gateway, "write", sql, { ...patientOptions, key: "k1" });
  expect(written.types).toBe("TDC");
  expect(await countCellos()).toContain("1");
});

// Without a key a retry could run the statement twice. The caller is told that it may have run, and it has
// run once or not at all.
test("a write without a key whose answer was lost is not retried", async () => {
  getPrimary().faults.loseCommitAnswers(1, "break");
  const sql = "INSERT INTO cello VALUES (1, 'Rossi')";
  const written = await runOnce(group.gateway, "write", sql, patientOptions);
  expect(written.outcome).toMatchObject({ type: "failed", verdict: { type: "mayHaveRun" } });
  const ran = getPrimary()
    .statements.list()
    .filter((s) => s.text.includes("Rossi"));
  expect(ran).toHaveLength(1);
});

// Another owner, partitioned from this one, has fenced a majority and promoted another target. This owner's
// view is stale and the old primary still considers itself the primary. A write there must not be
// acknowledged, whether it commits or not.
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

// Two of three targets have failed: no majority can be fenced, so no failover can succeed. At first a write
// waits, since most failovers are short. After that each write is refused immediately with a retry delay,
// long before its deadline, and has not run.
test("without a majority writes are refused immediately, not held until their deadline", async () => {
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
