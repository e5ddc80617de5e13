import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { runOnce, startGroup, type TestGroup } from "./group.js";

let group: TestGroup;

beforeEach(async () => {
  group = await startGroup();
  await runOnce(group.gateway, "write", "CREATE TABLE cello (id int PRIMARY KEY, family text)");
});

afterEach(() => group.dispose());

// Guards against writes that stall forever. Another owner fences all three targets and disappears, and this
// owner elects the same primary in a new term. The replicas followed it in the old term and replicate
// nothing in the new one until they are told to. If they still reported that they follow it, nobody would
// tell them.
test("replicas resume replication when the same primary is elected in a new term", async () => {
  const term = { round: 9, vm: "rival" };
  for (const { member } of group.targets) member.fence(term);
  const written = await runOnce(group.gateway, "write", "INSERT INTO cello VALUES (1, 'Rossi')", {
    key: "k1",
    action: { retry: { attempts: 10 } },
  });
  expect(written.outcome).toMatchObject({ type: "answered", servedBy: { target: "t1" } });
});
