import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { runOnce, runSql, startGroup, type TestGroup } from "./group.js";

let group: TestGroup;

beforeEach(async () => {
  group = await startGroup(20);
  const made = await runOnce(
    group.gateway,
    "write",
    "CREATE TABLE cello (id int PRIMARY KEY, family text)",
    { action: { retry: { attempts: 3 } } },
  );
  expect(made).toMatchObject({ types: "C", outcome: { type: "answered", status: "I" } });
});

afterEach(() => group.dispose());

test("a session reads its own write, from a replica once it has the write", async () => {
  const written = await runOnce(group.gateway, "write", "INSERT INTO cello VALUES (1, 'Rossi')");
  expect(written.outcome).toMatchObject({ type: "answered", servedBy: { role: "primary" } });
  const mark = written.outcome.type === "answered" ? written.outcome.mark : undefined;
  expect(mark).toBeDefined();
  const read = await runOnce(group.gateway, "read", "SELECT family FROM cello WHERE id = 1", {
    ...(mark === undefined ? {} : { mark }),
  });
  expect(read.text).toContain("Rossi");
  expect(read.outcome).toMatchObject({ servedBy: { role: "replica" } });
});

test("a session without a mark reads at least the latest acknowledged write", async () => {
  await runOnce(group.gateway, "write", "INSERT INTO cello VALUES (2, 'Verdi')", {
    action: { acknowledgement: "witnessed" },
  });
  const read = await runOnce(group.gateway, "read", "SELECT family FROM cello WHERE id = 2");
  expect(read.text).toContain("Verdi");
  expect(read.outcome).toMatchObject({ type: "answered", mark: { offset: expect.any(Number) } });
});

// A caller lost the answer to its write and repeats the write with the same key. The first run committed with
// its record, so the repeat finds the record and runs nothing: the caller receives the first answer, and
// there is one row.
test("a repeat with the same key gets the first answer and does not run", async () => {
  const sql = "INSERT INTO cello VALUES (3, 'Bianchi') RETURNING id";
  const first = await runOnce(group.gateway, "write", sql, { key: "k1" });
  const again = await runOnce(group.gateway, "write", sql, { key: "k1" });
  expect(first.types).toBe("TDC");
  expect(again.text).toBe(first.text);
  const other = await runOnce(group.gateway, "write", "DELETE FROM cello", { key: "k1" });
  expect(other.types).toBe("E");
  const count = await runOnce(group.gateway, "read", "SELECT count(*) FROM cello");
  expect(count.text).toContain("1");
});

// Two callers send the same write with one key at the same time. Both open a transaction; one commits its
// record, and the other finds it and must not run as well.
test("two concurrent writes with one key run once", async () => {
  const sql = "INSERT INTO cello VALUES (4, 'Neri') RETURNING id";
  const both = await Promise.all([
    runOnce(group.gateway, "write", sql, { key: "k2" }),
    runOnce(group.gateway, "write", sql, { key: "k2" }),
  ]);
  expect(both.map((a) => a.types)).toEqual(["TDC", "TDC"]);
});

test("an interactive transaction stays on one connection and commits as a whole", async () => {
  const conversation = group.gateway.open("libro");
  const options = { transaction: true };
  const begun = await runSql(conversation, "write", "BEGIN", options);
  expect(begun.outcome).toMatchObject({ type: "answered", status: "T" });
  await runSql(conversation, "write", "INSERT INTO cello VALUES (5, 'Gallo')", options);
  const unseen = await runOnce(group.gateway, "read", "SELECT family FROM cello WHERE id = 5");
  expect(unseen.types).toBe("TC");
  const ended = await runSql(conversation, "write", "COMMIT", options);
  expect(ended.outcome).toMatchObject({ status: "I", mark: { offset: expect.any(Number) } });
  conversation.close();
  const seen = await runOnce(group.gateway, "read", "SELECT family FROM cello WHERE id = 5");
  expect(seen.text).toContain("Gallo");
});

test("a transaction that is open when its caller disconnects is rolled back", async () => {
  const conversation = group.gateway.open("libro");
  await runSql(conversation, "write", "BEGIN", { transaction: true });
  await runSql(conversation, "write", "INSERT INTO cello VALUES (6, 'Riva')", {
    transaction: true,
  });
  conversation.close();
  const read = await runOnce(group.gateway, "read", "SELECT family FROM cello WHERE id = 6");
  expect(read.types).toBe("TC");
});

// One caller has a transaction open while others write. If its connection was given to another caller, that
// caller's write would become part of the transaction and be lost with its rollback, although it was
// acknowledged.
test("writes of other callers are not part of an open transaction", async () => {
  const conversation = group.gateway.open("libro");
  await runSql(conversation, "write", "BEGIN", { transaction: true });
  for (let id = 10; id < 14; id += 1) {
    await runOnce(group.gateway, "write", `INSERT INTO cello VALUES (${id}, 'Sala')`);
  }
  await runSql(conversation, "write", "ROLLBACK", { transaction: true });
  conversation.close();
  const read = await runOnce(group.gateway, "read", "SELECT count(*) FROM cello");
  expect(read.text).toContain("4");
});
