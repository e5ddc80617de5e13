import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { runOnce, startGroup, type TestGroup } from "./group.js";

let group: TestGroup;

beforeEach(async () => {
  group = await startGroup();
  await runOnce(group.gateway, "write", "CREATE TABLE cello (id int PRIMARY KEY, family text)");
});

afterEach(() => group.dispose());

// Writes stall, for good. A rival fences all three and goes away; the owner elects the same primary
// anew. The replicas followed it in the old term; they copy nothing in the new one before they are
// told to. Were they still to say that they follow it, nobody would tell them.
test("replicas copy again when the same primary is elected in a new term", async () => {
  const term = { round: 9, vm: "rival" };
  for (const { member } of group.targets) member.fence(term);
  const written = await runOnce(group.gateway, "write", "INSERT INTO cello VALUES (1, 'Rossi')", {
    key: "k1",
    action: { retry: { attempts: 10 } },
  });
  expect(written.outcome).toMatchObject({ type: "answered", servedBy: { target: "t1" } });
});
