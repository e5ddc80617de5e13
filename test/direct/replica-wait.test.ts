import { afterEach, expect, test } from "@jest/globals";
import {
  chooseCandidates,
  needsPrimarySlot,
  type CandidateTarget,
} from "../../src/direct/candidates.js";
import { healthyTarget, noteLagging } from "../../src/direct/health.js";
import type { Readiness } from "../../src/direct/replica-positions.js";
import { findProbe, findReplicaWaitMs, limitReplicaWait } from "../../src/direct/replica-wait.js";
import type { Mark } from "../../src/model/index.js";
import { failLocally, type CommandResult } from "../../src/statement/index.js";
import { answered, group, ProxyFixture, read, write, type SentCommand } from "./fixture.js";

let fixture: ProxyFixture | undefined;
afterEach(() => fixture?.dispose());

const answeredCommands = new Set<SentCommand>();

const now = 100;
const makeReadiness = (change: Partial<Readiness> = {}): Readiness => ({
  holdsMark: false,
  readyInMs: 0,
  isProbeDue: false,
  ...change,
});
const view = (name: string, readiness?: Readiness): CandidateTarget => ({
  name,
  isLeaving: false,
  isLocal: false,
  health: healthyTarget,
  running: 0,
  hasIdle: true,
  slots: 2,
  occupiedSlots: 0,
  ...(readiness === undefined ? {} : { readiness }),
});
const serving = { type: "serving", target: "p" } as const;
const constraints = {
  needsPrimary: false,
  hasRequiredMark: true,
  isBackground: false,
  excluded: new Set<string>(),
};
const choose = (views: readonly CandidateTarget[]) =>
  chooseCandidates(constraints, serving, views, now, () => 0.5);
const findWaitMs = (views: readonly CandidateTarget[], endsAt = now + 100) =>
  findReplicaWaitMs(constraints, serving, views, now, endsAt);

const late = makeReadiness({ readyInMs: 40 });
const holds = makeReadiness({ holdsMark: true });
const stalled = makeReadiness({ readyInMs: Infinity });

test("a read goes to the replica that has the position, or is expected to have it", () => {
  expect(choose([view("p"), view("a", late), view("b", holds)])).toMatchObject({ names: ["b"] });
  expect(choose([view("p"), view("a", late), view("b", makeReadiness())])).toMatchObject({
    names: ["b"],
  });
});

// Guards against a read that is refused because all replicas are expected to lag beyond its deadline, although the
// primary can be used before.
test("a read waits no longer for replicas than for the primary", () => {
  const failing = { ...view("p"), health: { ...healthyTarget, failures: 1, avoidUntil: now + 50 } };
  const views = [failing, view("a", stalled), view("b", makeReadiness({ readyInMs: 300 }))];
  expect(choose(views)).toMatchObject({ type: "wait", readyInMs: 50 });
});

// Guards against reads that a replica refuses before they go to the primary.
test("a read counts as load of the primary before a replica has refused it", () => {
  const views = [view("p"), view("a", stalled), view("b", makeReadiness({ readyInMs: 500 }))];
  expect(needsPrimarySlot(constraints, serving, views, now)).toBe(true);
  expect(choose(views)).toMatchObject({ role: "primary", names: ["p"] });
});

// Guards against a replica that is not used for the positions that it has, since it lacked a newer one.
test("a refusal for a newer position does not rule out a position that the replica has reported", () => {
  const health = noteLagging(healthyTarget, 90);
  expect(choose([view("p"), { ...view("a", holds), health }])).toMatchObject({ names: ["a"] });
  const unknown = { ...view("a", makeReadiness()), health };
  expect(choose([view("p"), unknown])).toMatchObject({ names: ["p"] });
});

test("a read waits for a replica only if none can be read and one is expected in time", () => {
  expect(findWaitMs([view("p"), view("a", late), view("b", stalled)])).toBe(40);
  expect(findWaitMs([view("p"), view("a", late), view("b", holds)])).toBeUndefined();
  expect(findWaitMs([view("p"), view("a", late), view("b")])).toBeUndefined();
  expect(findWaitMs([view("p"), view("a", late)], now + 39)).toBeUndefined();
  expect(findWaitMs([view("p"), view("a", stalled)])).toBeUndefined();
  const idleHere = { ...view("p"), isLocal: true };
  expect(findWaitMs([idleHere, view("a", late)])).toBeUndefined();
});

test("the wait is at most 100 ms and a quarter of what is left of the objective", () => {
  expect([1000, 200, -50].map(limitReplicaWait)).toEqual([100, 50, 0]);
});

// Guards against a replica of another region that is waited for, or tried, while this region has one.
test("a read waits for and tries the replicas of its region", () => {
  const remote = { ...view("b", holds), distance: "remote" as const };
  expect(findWaitMs([view("p"), view("a", late), remote])).toBe(40);
  const dueRemote = { ...remote, readiness: makeReadiness({ readyInMs: 90, isProbeDue: true }) };
  expect(findProbe(constraints, serving, [view("p"), view("a", late), dueRemote], now)).toBe(
    undefined,
  );
});

// Guards against a wrong estimate that keeps all reads from a replica for good.
test("a replica that is expected to lag is tried when a try is due", () => {
  const due = { ...stalled, isProbeDue: true };
  expect(findProbe(constraints, serving, [view("p"), view("a", due)], now)).toBe("a");
  expect(findProbe(constraints, serving, [view("p"), view("a", stalled)], now)).toBeUndefined();
  const expected = { ...holds, isProbeDue: true };
  expect(findProbe(constraints, serving, [view("p"), view("a", expected)], now)).toBeUndefined();
});

const makeMark = (offset: number): Mark => ({ term: { round: 1, vm: "p" }, offset });
const makeLagging = (held: Mark): CommandResult => ({
  type: "answered",
  reply: { ...failLocally("lagging", "the log lacks the mark", "idle"), mark: held },
});

/** A proxy without a place at the primary, whose replica q is known to be 60 ms behind. */
async function startBehind(isSlotPlanned: boolean): Promise<ProxyFixture> {
  const started = new ProxyFixture({
    targets: ["p", "q"],
    dataCentres: ["b", "a"],
    isSlotPlanned,
  });
  fixture = started;
  started.clock.jumpAhead(1000);
  const directGroup = started.groups.find(group);
  const note = (offset: number) =>
    directGroup?.notePrimaryMark("p", makeMark(offset), started.clock.now());
  note(1);
  started.openedAtOf.set("p", makeMark(12)).set("q", makeMark(6));
  for (let offset = 2; offset <= 12; offset += 1) {
    await started.advance(10);
    note(offset);
    directGroup?.positions.noteReplicaMark(
      "q",
      makeMark(Math.max(1, offset - 6)),
      started.clock.now(),
    );
  }
  return started;
}

/** Answers the next work that is sent to a target, once it has been sent. */
async function answerNext(started: ProxyFixture, target: string, result: CommandResult) {
  for (let i = 0; i < 20; i += 1) {
    const sent = started.list(target, "work").find((v) => !answeredCommands.has(v));
    if (sent !== undefined) {
      answeredCommands.add(sent);
      sent.answer(result);
      await started.advance(0);
      return sent.command;
    }
    await started.advance(0);
  }
  throw new Error(`nothing was sent to ${target}`);
}

/** Commits at the primary and then reads in the same session; returns the read's end. */
async function writeAndRead(started: ProxyFixture) {
  const session = started.open("session");
  const committed = session.run(write("w"));
  await answerNext(started, "p", answered("idle", makeMark(13)));
  await committed;
  return { end: session.run(read("r")) };
}

const countReads = (started: ProxyFixture, target: string) =>
  started
    .list(target, "work")
    .filter(({ command }) => command.type === "work" && command.work.id === "r").length;

test("a read after a write waits for the replica without a slot, and is answered by it", async () => {
  const started = await startBehind(true);
  const directGroup = started.groups.find(group);
  // The try that is due is made, so that the next read follows the estimate.
  directGroup?.positions.beginProbe("q")();
  const { end } = await writeAndRead(started);
  await started.advance(40);
  expect(countReads(started, "q") + countReads(started, "p")).toBe(0);
  expect(directGroup?.listCandidates("").map(({ occupiedSlots }) => occupiedSlots)).toEqual([0, 0]);
  await started.advance(30);
  expect(countReads(started, "q")).toBe(1);
  await answerNext(started, "q", answered("idle", makeMark(13)));
  expect((await end).end.type).toBe("complete");
  expect(countReads(started, "p")).toBe(0);
});

// Guards against a record that is never discarded: the answer comes after its target has been removed.
test("an answer of a removed replica leaves no record", async () => {
  const started = await startBehind(true);
  const directGroup = started.groups.find(group);
  directGroup?.positions.beginProbe("q")();
  const { end } = await writeAndRead(started);
  await started.advance(70);
  expect(countReads(started, "q")).toBe(1);
  const config = started.ports.getServingConfig();
  const groups = [...config.groups].map(([name, known]) => {
    const targets = known.targets.filter((target) => target.name !== "q");
    return [name, { ...known, targets }] as const;
  });
  started.groups.update({ ...config, groups: new Map(groups) });
  await answerNext(started, "q", answered("idle", makeMark(13)));
  expect((await end).end.type).toBe("complete");
  expect(directGroup?.positions.share("p").replicas).toEqual([]);
});

// Guards against a change of what deployments do whose configuration does not call for this part.
test("where slots are not planned, positions of replicas decide nothing", async () => {
  const started = await startBehind(false);
  const { end } = await writeAndRead(started);
  await started.advance(1);
  expect(countReads(started, "q")).toBe(1);
  expect(
    started.groups
      .find(group)
      ?.listCandidates("")
      .some((v) => "readiness" in v),
  ).toBe(false);
  expect(started.groups.listReplicaDelays()).toEqual([]);
  started
    .list("q", "work")
    .at(-1)
    ?.answer(makeLagging(makeMark(6)));
  await started.advance(0);
  started.list("p", "work").at(-1)?.answer();
  expect((await end).end.type).toBe("complete");
});

// Guards against a read that is left without an answer when its caller goes while it waits for a replica.
test("the wait for a replica ends when the caller disconnects", async () => {
  const started = await startBehind(true);
  started.groups.find(group)?.positions.beginProbe("q")();
  const session = started.open("session");
  const committed = session.run(write("w"));
  await answerNext(started, "p", answered("idle", makeMark(13)));
  await committed;
  const end = session.run(read("r"));
  await started.advance(10);
  session.close();
  await started.advance(0);
  expect((await end).end.type).toBe("error");
  expect(countReads(started, "q") + countReads(started, "p")).toBe(0);
});

// Guards against a read that counts as fresh by an estimate: the replica lacks the position contrary to it.
test("an estimate that is wrong costs a refusal at the replica, and the read goes to the primary", async () => {
  const started = await startBehind(true);
  started.groups.find(group)?.positions.beginProbe("q")();
  const { end } = await writeAndRead(started);
  await started.advance(70);
  const command = await answerNext(started, "q", makeLagging(makeMark(6)));
  expect(command).toMatchObject({ atLeast: makeMark(13) });
  await answerNext(started, "p", answered());
  expect((await end).end.type).toBe("complete");
  expect(countReads(started, "p")).toBe(1);
  expect(started.expectedWrongCount).toBe(1);
});

// Guards against a process that was suspended and trusts positions of before.
test("after a suspension nothing is known of replicas", async () => {
  const started = await startBehind(true);
  started.groups.forgetMarks();
  expect(started.groups.listReplicaDelays()).toEqual([]);
  const required = { mark: makeMark(6), since: 0 };
  const views = started.groups.find(group)?.listCandidates("", required) ?? [];
  expect(views.some((v) => v.readiness !== undefined)).toBe(false);
});

// Guards against writes that get no turn beside such reads, since admission cannot tell them apart.
test("a read that uses the primary as replicas lag is marked for admission, where slots are planned", async () => {
  for (const isSlotPlanned of [true, false]) {
    const started = await startBehind(isSlotPlanned);
    const directGroup = started.groups.find(group);
    directGroup?.positions.beginProbe("q")();
    const marks: (boolean | undefined)[] = [];
    const acquire = directGroup?.acquire.bind(directGroup);
    if (directGroup === undefined || acquire === undefined) throw new Error("no group");
    directGroup.acquire = (request, signal) => {
      if (request.candidates.includes("p")) marks.push(request.lacksReplica);
      return acquire(request, signal);
    };
    const { end } = await writeAndRead(started);
    await started.advance(70);
    await answerNext(started, "q", makeLagging(makeMark(6)));
    await answerNext(started, "p", answered());
    expect((await end).end.type).toBe("complete");
    expect(marks).toEqual([undefined, isSlotPlanned ? true : undefined]);
    await started.dispose();
  }
});
