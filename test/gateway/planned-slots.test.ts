import { afterEach, expect, test } from "@jest/globals";
import { waitUntil } from "../node/cluster.js";
import { answered } from "../direct/fixture.js";
import {
  begin,
  commit,
  findEnd,
  group,
  Hop,
  makeRead,
  makeWrite,
  waitForSent,
  type HopGateway,
} from "./hop.js";

let hop: Hop;

afterEach(() => hop.dispose());

function getGroup({ stage }: HopGateway) {
  const found = stage.groups.find(group);
  if (found === undefined) throw new Error("the group is unknown");
  return found;
}

const getUse = (gateway: HopGateway) => getGroup(gateway).slots.listUse()[0];

/** A transaction of another node at a gateway with one slot, which a statement of a second caller holds. */
async function startWaitingStatement() {
  hop = await Hop.start(1, { targets: ["p"], isSlotPlanned: true });
  const [gateway] = hop.gateways;
  if (gateway === undefined) throw new Error("no gateway");
  getGroup(gateway).slots.resize("p", "primary", 1, undefined, 4);
  const session = hop.open("primary");
  await session.run(begin("0"));
  const first = session.run(makeWrite("1"));
  await waitForSent(gateway, "work");
  gateway.stage.list("p", "work")[0]?.answer(answered("transaction"));
  expect(findEnd(await first)).toBe("complete");
  await waitUntil(() => getUse(gateway)?.held === 1);
  const other = hop.open("primary").run(makeRead("o"));
  await waitForSent(gateway, "work", 2);
  const next = session.run(makeWrite("2"));
  await waitUntil(() => getGroup(gateway).slots.countResuming("p") === 1);
  return { gateway, session, next, other };
}

// Guards against a transaction of another node that waits for its slot behind that node's new statements.
test("a forwarded transaction gets the next slot, and its commit too", async () => {
  const { gateway, session, next, other } = await startWaitingStatement();
  const later = hop.open("primary").run(makeRead("l"));
  gateway.stage.list("p", "work")[1]?.answer();
  expect(findEnd(await other)).toBe("complete");
  await waitForSent(gateway, "work", 3);
  const third = gateway.stage.list("p", "work")[2];
  expect(third?.command.type === "work" && third.command.work.id).toBe("2");
  third?.answer(answered("transaction"));
  expect(findEnd(await next)).toBe("complete");
  await waitForSent(gateway, "work", 4);
  const committed = session.run(commit("3"));
  await waitUntil(() => getGroup(gateway).slots.countResuming("p") === 1);
  gateway.stage.list("p", "work")[3]?.answer();
  await waitForSent(gateway, "commit");
  gateway.stage.list("p", "commit")[0]?.answer();
  expect(findEnd(await committed)).toBe("complete");
  expect(findEnd(await later)).toBe("complete");
  await waitUntil(() => getUse(gateway)?.running === 0 && getUse(gateway)?.held === 0);
});

// Guards against connections and slots that stay held for a node that was lost halfway.
test("a node that is lost while its transaction waits leaves nothing held", async () => {
  const { gateway, next } = await startWaitingStatement();
  hop.killNode();
  expect(findEnd(await next)).toBe("aborted");
  await waitUntil(() => getUse(gateway)?.held === 0);
  gateway.stage.list("p", "work")[1]?.answer();
  await waitUntil(() => getUse(gateway)?.running === 0);
  expect(gateway.stage.list("p", "work")).toHaveLength(2);
  expect(gateway.stage.list("p", "rollback")).toHaveLength(1);
});

// Guards against a caller that is told of a fault of its own when its transaction was ended for others.
test("the node learns with the next statement that its transaction was ended for others", async () => {
  const { gateway, session, next, other } = await startWaitingStatement();
  gateway.stage.list("p", "work")[1]?.answer();
  await waitForSent(gateway, "work", 3);
  gateway.stage.list("p", "work")[2]?.answer(answered("transaction"));
  await Promise.all([other, next]);
  getGroup(gateway).slots.resize("p", "primary", 1, undefined, 1);
  const waiting = hop.open("primary").run(makeRead("w"));
  await waitUntil(() => getGroup(gateway).slots.countWaitingForConnection("p") === 1);
  gateway.stage.clock.jumpAhead(200);
  await waitForSent(gateway, "work", 4);
  gateway.stage.list("p", "work")[3]?.answer();
  expect(findEnd(await waiting)).toBe("complete");
  expect(findEnd(await session.run(makeRead("5")))).toBe("aborted");
  expect(session.state).toBe("failed");
});
