import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { runOnce, runSql, startGroup, type TestGroup } from "./group.js";

let group: TestGroup;

beforeEach(async () => {
  group = await startGroup(5);
  await runOnce(group.gateway, "write", "CREATE TABLE cello (id int PRIMARY KEY, family text)");
});

afterEach(() => group.dispose());

function setLeaving(name: string): void {
  const targets = group.group.targets.map((t) => ({ ...t, isLeaving: t.name === name }));
  const groups = new Map([[group.group.name, { ...group.group, targets }]]);
  group.gateway.setGroups(groups, new Set([group.group.name]));
}

async function countReads(name: string): Promise<number> {
  for (let id = 0; id < 12; id += 1) await runOnce(group.gateway, "read", "SELECT id FROM cello");
  const target = group.targets.find((t) => t.name === name);
  return target?.statements.list("SELECT id").length ?? 0;
}

// The platform removes a replica's VM. Reads that still run on it at its end would be aborted. Once the owner
// has been told, every read goes to the other targets.
test("a replica that is leaving gets no new reads", async () => {
  setLeaving("t2");
  expect(await countReads("t2")).toBe(0);
});

// The platform removes the primary's VM. The owner moves the primary role to a replica whose log has all of
// the primary's writes, and writes continue there; a caller notices a short wait at most.
test("the primary role moves off a target that is leaving", async () => {
  setLeaving("t1");
  const patient = { action: { retry: { attempts: 10 } } };
  const sql = "INSERT INTO cello VALUES (1, 'Rossi')";
  const written = await runOnce(group.gateway, "write", sql, { ...patient, key: "k1" });
  expect(written.outcome).toMatchObject({ type: "answered" });
  expect(written.outcome).not.toMatchObject({ servedBy: { target: "t1" } });
});

// A transaction is open on the primary when the platform removes its VM. The switchover waits a short time
// for it: the caller commits without an error, and only then do writes move to the new primary.
test("an open transaction on a leaving primary commits before the role moves", async () => {
  const conversation = group.gateway.open("libro");
  const options = { transaction: true };
  await runSql(conversation, "write", "BEGIN", options);
  await runSql(conversation, "write", "INSERT INTO cello VALUES (2, 'Verdi')", options);
  setLeaving("t1");
  await runSql(conversation, "write", "INSERT INTO cello VALUES (3, 'Verdi')", options);
  const ended = await runSql(conversation, "write", "COMMIT", options);
  conversation.close();
  expect(ended.outcome).toMatchObject({ type: "answered", status: "I" });
  const sql = "INSERT INTO cello VALUES (4, 'Neri')";
  const next = await runOnce(group.gateway, "write", sql, { key: "k4" });
  expect(next.outcome).toMatchObject({ type: "answered" });
  expect(next.outcome).not.toMatchObject({ servedBy: { target: "t1" } });
});
