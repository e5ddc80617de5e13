import { afterEach, expect, test } from "@jest/globals";
import type { DirectSession } from "../../src/direct/session.js";
import { failLocally, type Reply, type TargetCommand } from "../../src/statement/index.js";
import { answered, group, ProxyFixture, read, write, type SentCommand } from "./fixture.js";

let fixture: ProxyFixture;

afterEach(() => fixture.dispose());

/** Rounds of the timers that refuse late statements and end idle transactions, in milliseconds. */
const timerRoundMs = 120;

const waitForTimers = () => new Promise((resolve) => setTimeout(resolve, timerRoundMs));

/** A proxy with three slots and connections at its target. */
const createProxy = (isSlotPlanned = true) =>
  (fixture = new ProxyFixture({ targets: ["p"], proxies: 3, isSlotPlanned }));

function findUnanswered(type: TargetCommand["type"], answeredSoFar: Set<SentCommand>) {
  return fixture.list("p", type).filter((sent) => !answeredSoFar.has(sent));
}

/** Answers all statements that run. */
class Answers {
  readonly given = new Set<SentCommand>();

  answer(type: TargetCommand["type"] = "work", state: "idle" | "transaction" = "idle"): number {
    const open = findUnanswered(type, this.given);
    for (const sent of open) {
      this.given.add(sent);
      sent.answer(answered(state));
    }
    return open.length;
  }

  listOpen(type: TargetCommand["type"] = "work"): readonly SentCommand[] {
    return findUnanswered(type, this.given);
  }
}

async function openTransaction(answers: Answers, isReadOnly = false): Promise<DirectSession> {
  const session = fixture.open("primary");
  await session.run({ type: "begin", id: "b", isReadOnly });
  const first = session.run(isReadOnly ? read("1") : write("1"));
  await fixture.advance(1);
  answers.answer("work", "transaction");
  expect((await first).end.type).toBe("complete");
  return session;
}

const countFree = () => fixture.groups.find(group)?.slots.countFree("p") ?? -1;
const listUse = () => fixture.groups.find(group)?.slots.listUse()[0];

function expectError(reply: Reply, code: string): void {
  expect(reply.end).toMatchObject({ type: "error", code });
}

// Guards against a change of behaviour where slots are not planned.
test("without planned slots a transaction keeps its slot between statements", async () => {
  createProxy(false);
  await openTransaction(new Answers());
  await openTransaction(new Answers());
  expect(countFree()).toBe(1);
  expect(listUse()).toMatchObject({ running: 2, held: 0 });
  expect(fixture.groups.listSlots()).toEqual([]);
});

// Guards against metrics that count waiting statements as idle transactions, or miss targets.
test("the slots and idle transactions of a target are listed for metrics", async () => {
  createProxy();
  const answers = new Answers();
  await openTransaction(answers);
  void fixture.open("primary").run(read("r"));
  await fixture.advance(1);
  expect(fixture.groups.listSlots()).toEqual([
    { group, target: "p", running: 1, free: 2, idle: 1 },
  ]);
});

// Guards against slots that an idle transaction keeps, and that are lost or freed twice at its end.
test.each(["commit", "rollback", "disconnect", "error", "break"] as const)(
  "a transaction holds a slot only while a statement runs, and none after its %s",
  async (end) => {
    createProxy();
    const answers = new Answers();
    const session = await openTransaction(answers);
    expect(listUse()).toMatchObject({ running: 0, held: 1 });
    const next = session.run(write("2"));
    await fixture.advance(1);
    expect(listUse()).toMatchObject({ running: 1, held: 0 });
    const [sent] = answers.listOpen();
    if (end === "error") {
      sent?.answer({ type: "answered", reply: failLocally("failed", "wrong", "failed") });
    } else if (end === "break") sent?.answer({ type: "broken", sent: true, reason: "cut" });
    else answers.answer("work", "transaction");
    await next;
    if (end === "commit") {
      const committed = session.run({ type: "commit", id: "3", text: "COMMIT" });
      await fixture.advance(1);
      expect(listUse()).toMatchObject({ running: 1, held: 0 });
      answers.answer("commit");
      await committed;
    }
    if (end === "rollback") await session.run({ type: "rollback", id: "3" });
    if (end === "disconnect") session.close();
    await fixture.advance(1);
    session.close();
    await fixture.advance(1);
    expect(listUse()).toMatchObject({ running: 0, held: 0, free: 3 });
  },
);

/** Other statements, which hold all slots. */
const heldCount = 6;

/** A transaction whose next statement waits, because other statements hold all slots. */
async function startWaitingStatement() {
  fixture = new ProxyFixture({ targets: ["p"], isSlotPlanned: true });
  const answers = new Answers();
  const session = await openTransaction(answers);
  const others = Array.from({ length: heldCount }, (_, i) =>
    fixture.open("primary").run(read(`o${i}`)),
  );
  await fixture.advance(1);
  fixture.groups.find(group)?.slots.resize("p", "primary", heldCount, undefined, 8);
  const reply = session.run(write("2"));
  await fixture.advance(1);
  expect(fixture.groups.find(group)?.slots.countResuming("p")).toBe(1);
  return { answers, session, reply, others };
}

// Guards against a statement that waits for its slot beyond its deadline, or keeps its connection after it.
test("a statement that gets no slot by its deadline is refused, and its transaction rolled back", async () => {
  const { reply } = await startWaitingStatement();
  fixture.clock.jumpAhead(800);
  await waitForTimers();
  expectError(await reply, "busy");
  await fixture.advance(1);
  expect(fixture.list("p", "rollback")).toHaveLength(1);
  expect(listUse()).toMatchObject({ running: heldCount, held: 0 });
});

// Guards against a commit that is sent without a slot, or counted as sent when it was not.
test("a commit that gets no slot by its deadline rolls back instead", async () => {
  const { answers, session, reply, others } = await startWaitingStatement();
  answers.answer();
  await fixture.advance(1);
  answers.answer("work", "transaction");
  await Promise.all([reply, ...others]);
  for (let i = 0; i < heldCount; i += 1) void fixture.open("primary").run(read(`n${i}`));
  await fixture.advance(1);
  const committed = session.run({ type: "commit", id: "3", text: "COMMIT" });
  await fixture.advance(1);
  fixture.clock.jumpAhead(800);
  await waitForTimers();
  expectError(await committed, "busy");
  await fixture.advance(1);
  expect(fixture.list("p", "commit")).toHaveLength(0);
  expect(fixture.list("p", "rollback")).toHaveLength(1);
  expect(session.state).toBe("idle");
});

// Guards against a disconnect halfway that leaves a waiting statement, its connection or a slot behind.
test("a caller that disconnects while its statement waits gives everything back", async () => {
  const { answers, session, reply } = await startWaitingStatement();
  session.close();
  expectError(await reply, "aborted");
  await fixture.advance(1);
  expect(listUse()).toMatchObject({ running: heldCount, held: 0 });
  answers.answer();
  await fixture.advance(1);
  expect(listUse()).toMatchObject({ running: 0, held: 0 });
  expect(fixture.list("p", "work").filter(({ command }) => isWork(command, "2"))).toEqual([]);
});

function isWork(command: TargetCommand, id: string): boolean {
  return command.type === "work" && command.work.id === id;
}

// Guards against stale answers of a replaced primary, and against waiting for its slots.
test("a transaction whose primary is replaced while it waits is rolled back at once", async () => {
  const { reply } = await startWaitingStatement();
  fixture.primary = { type: "changing", readyInMs: 500, reason: "failover" };
  fixture.groups.find(group)?.evict("p");
  expectError(await reply, "aborted");
  await fixture.advance(1);
  expect(listUse()).toMatchObject({ running: heldCount, held: 0 });
});

// Guards against a primary that is replaced while the statement's slot becomes free.
test("a statement is not sent to a primary that was replaced while it waited", async () => {
  const { answers, reply } = await startWaitingStatement();
  fixture.primary = { type: "changing", readyInMs: 500, reason: "failover" };
  await fixture.advance(5);
  answers.answer();
  expectError(await reply, "aborted");
  expect(fixture.list("p", "work").filter(({ command }) => isWork(command, "2"))).toEqual([]);
});

// Guards against a slot that stays taken when the connection breaks while its statement waits.
test("a connection that breaks while its statement waits for a slot leaves no slot taken", async () => {
  const { answers, reply } = await startWaitingStatement();
  fixture.breakConnections();
  answers.answer();
  expectError(await reply, "aborted");
  await fixture.advance(1);
  expect(listUse()).toMatchObject({ running: 0, held: 0 });
});
