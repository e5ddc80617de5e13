import { afterEach, expect, test } from "@jest/globals";
import { pickTransactionToEnd, type IdleTransaction } from "../../src/direct/idle-transactions.js";
import type { DirectSession } from "../../src/direct/session.js";
import { answered, group, ProxyFixture, read, write } from "./fixture.js";

let fixture: ProxyFixture | undefined;

afterEach(() => fixture?.dispose());

const makeIdle = (rest: Partial<IdleTransaction>): IdleTransaction => ({
  target: "p",
  level: 1,
  hasWritten: false,
  idleSince: 0,
  end: () => undefined,
  ...rest,
});

// Guards against a transaction that is ended although another one costs its caller less.
test("the transaction idle longest of the least important level is ended first", () => {
  const written = makeIdle({ level: 3, hasWritten: true, idleSince: 0 });
  const important = makeIdle({ level: 0, idleSince: 1 });
  const later = makeIdle({ level: 2, idleSince: 20 });
  const earlier = makeIdle({ level: 2, idleSince: 10 });
  const elsewhere = makeIdle({ target: "q", level: 9 });
  const left = new Set([written, important, later, earlier, elsewhere]);
  for (const expected of [earlier, later, important, written, undefined]) {
    const picked = pickTransactionToEnd(left, "p", 1000);
    expect(picked).toBe(expected);
    if (picked !== undefined) left.delete(picked);
  }
});

// Guards against transactions that are ended while their callers' next statement is on its way.
test("a transaction that has been idle for less than 100 ms is not ended", () => {
  const idle = [makeIdle({ idleSince: 50, level: 5 }), makeIdle({ idleSince: 30 })];
  expect(pickTransactionToEnd(idle, "p", 129)).toBeUndefined();
  expect(pickTransactionToEnd(idle, "p", 130)).toBe(idle[1]);
});

const holders = 2;

/** A proxy whose connections to its target are all held by idle transactions. */
async function holdAllConnections() {
  const proxy = new ProxyFixture({ targets: ["p"], proxies: 3, isSlotPlanned: true });
  fixture = proxy;
  const directGroup = proxy.groups.find(group);
  if (directGroup === undefined) throw new Error("the group is unknown");
  directGroup.slots.resize("p", "primary", holders, undefined, holders);
  const sessions: DirectSession[] = [];
  for (let i = 0; i < holders; i += 1) {
    const session = proxy.open("primary");
    await session.run({ type: "begin", id: "b", isReadOnly: false });
    const first = session.run(i === 0 ? write("1") : read("1"));
    await proxy.advance(1);
    proxy.list("p", "work")[i]?.answer(answered("transaction"));
    await first;
    sessions.push(session);
  }
  return { proxy, directGroup, sessions };
}

// Guards against idle transactions that are ended although nobody needs their connections.
test("idle transactions stay while nobody waits for a connection", async () => {
  const { proxy, directGroup } = await holdAllConnections();
  await proxy.advance(300);
  directGroup.idle.endForWaiting();
  expect(directGroup.idle.size).toBe(holders);
});

// Guards against more transactions that are ended than requests wait, and against a commit of an ended one.
test("one transaction is ended for one request, and its caller learns it", async () => {
  const { proxy, directGroup, sessions } = await holdAllConnections();
  const waiting = proxy.open("primary").run(read("w"));
  await proxy.advance(50);
  directGroup.idle.endForWaiting();
  expect(directGroup.idle.size).toBe(holders);
  await proxy.advance(60);
  for (let i = 0; i < 3; i += 1) directGroup.idle.endForWaiting();
  expect(directGroup.idle.size).toBe(holders - 1);
  await proxy.advance(1);
  proxy.list("p", "work").at(-1)?.answer(answered());
  expect((await waiting).end.type).toBe("complete");
  const [written, readOnly] = sessions;
  const next = await readOnly?.run(read("2"));
  expect(next?.end).toMatchObject({ type: "error", code: "aborted" });
  expect(next?.state).toBe("failed");
  const committed = written?.run({ type: "commit", id: "3", text: "COMMIT" });
  await proxy.advance(1);
  proxy.list("p", "commit")[0]?.answer(answered());
  expect((await committed)?.end.type).toBe("complete");
});

// Guards against a slow rollback, during which the watch of each session ends its idle transaction as well.
test("while the rollback for one request is not answered, no other transaction is ended", async () => {
  const { proxy } = await holdAllConnections();
  await proxy.advance(500);
  proxy.isRollbackHeld = true;
  void proxy.open("primary").run(read("w"));
  await new Promise((resolve) => setTimeout(resolve, 700));
  expect(proxy.list("p", "rollback")).toHaveLength(1);
});

// Guards against a commit that is reported as done after its transaction was ended for others.
test("the commit of an ended transaction is answered as aborted", async () => {
  const { proxy, directGroup, sessions } = await holdAllConnections();
  for (let i = 0; i < holders; i += 1) void proxy.open("primary").run(read(`w${i}`));
  await proxy.advance(110);
  directGroup.idle.endForWaiting();
  expect(directGroup.idle.size).toBe(0);
  const reply = await sessions[0]?.run({ type: "commit", id: "3", text: "COMMIT" });
  expect(reply?.end).toMatchObject({ type: "error", code: "aborted" });
  expect(proxy.list("p", "commit")).toEqual([]);
  await sessions[1]?.run({ type: "rollback", id: "4" });
  await proxy.advance(1);
  expect(proxy.list("p", "rollback")).toHaveLength(holders);
});

// Guards against a deadlock of slots held by statements that wait for connections, and connections held by
// transactions that wait for slots.
test("a statement that finds no connection gives its slot to a transaction that has one", async () => {
  const { proxy, directGroup, sessions } = await holdAllConnections();
  // The target accepts fewer connections than this proxy's share.
  directGroup.slots.resize("p", "primary", 1, undefined, holders + 1);
  const blocked = proxy.open("primary").run(read("w"));
  await proxy.advance(1);
  const next = sessions[0]?.run(write("2"));
  await proxy.advance(1);
  expect(proxy.list("p", "work")).toHaveLength(holders);
  await new Promise((resolve) => setTimeout(resolve, 150));
  await proxy.advance(1);
  expect(proxy.list("p", "work")).toHaveLength(holders + 1);
  proxy.list("p", "work").at(-1)?.answer(answered("transaction"));
  expect((await next)?.end.type).toBe("complete");
  proxy.clock.jumpAhead(1000);
  await proxy.advance(1000);
  expect((await blocked).end).toMatchObject({ type: "error", code: "busy" });
});
