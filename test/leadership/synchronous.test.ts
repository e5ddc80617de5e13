import { expect, test } from "@jest/globals";
import type { TargetAnswer } from "../../src/leadership/index.js";
import { LeadershipFixture } from "./fixture.js";

const silent: TargetAnswer = { type: "silent" };

function createReport(
  role: "primary" | "replica",
  offset: number,
  round = 1,
  logRound = 1,
): TargetAnswer {
  const received = { term: { round: logRound, vm: "" }, offset };
  return { type: "report", report: { role, received, round, lagMs: 0 } };
}

/** A group with the primary `i-0` and two replicas; a promoted target reports itself as primary of a newer round. */
function createGroup(near: TargetAnswer, far: TargetAnswer): LeadershipFixture {
  const fixture = new LeadershipFixture();
  fixture.isSynchronous = true;
  fixture.replicaAnswer = silent;
  fixture.otherTargets = [{ name: "near" }, { name: "far" }];
  fixture.answers.set("near", near);
  fixture.answers.set("far", far);
  fixture.promote = () => {
    const target = fixture.promoted.at(-1) ?? "";
    const answer = fixture.answers.get(target) ?? fixture.targetAnswer;
    if (answer.type === "report")
      fixture.answers.set(target, createReport("primary", answer.report.received.offset, 9));
    return Promise.resolve({ type: "accepted" });
  };
  return fixture;
}

/** Lets a proxy find the primary unreachable. */
function suspectPrimary(fixture: LeadershipFixture) {
  const proxy = fixture.makeProxy("a");
  proxy.tracker.noteProbeResult("ledger", "i-0", 0, false);
  fixture.clock.time = 400;
  return proxy;
}

// A replica that lacked acknowledged commits was promoted since the one that has them was leaving (LOST).
test("of a synchronous group a leaving target with the longest log is promoted before a shorter one", async () => {
  const fixture = createGroup(createReport("replica", 9), createReport("replica", 4));
  fixture.otherTargets = [{ name: "near", isLeaving: true }, { name: "far" }];
  const { changer } = suspectPrimary(fixture);
  await fixture.checkFor(changer, 1000);
  expect(fixture.promoted).toEqual(["near"]);
});

test("without acknowledgement by replicas a target that stays is promoted as before", async () => {
  const fixture = createGroup(createReport("replica", 9), createReport("replica", 4));
  fixture.isSynchronous = false;
  fixture.otherTargets = [{ name: "near", isLeaving: true }, { name: "far" }];
  const { changer } = suspectPrimary(fixture);
  await fixture.checkFor(changer, 1000);
  expect(fixture.promoted).toEqual(["far"]);
});

// The only replica that answered was promoted, without commits that a silent one had received (LOST).
test("of a synchronous group no target is promoted until every replica has reported", async () => {
  const fixture = createGroup(silent, createReport("replica", 4));
  const { changer } = suspectPrimary(fixture);
  await fixture.checkFor(changer, 6000);
  expect(fixture.promoted).toEqual([]);
  fixture.answers.set("near", createReport("replica", 9));
  await fixture.checkFor(changer, 3000);
  expect(fixture.promoted).toEqual(["near"]);
});

// Without acknowledgement by replicas the rule doesn't ask for it, and nothing waits longer.
test("without acknowledgement by replicas a silent replica is not waited for", async () => {
  const fixture = createGroup(silent, createReport("replica", 4));
  fixture.isSynchronous = false;
  const { changer } = suspectPrimary(fixture);
  await fixture.checkFor(changer, 1000);
  expect(fixture.promoted).toEqual(["far"]);
});

// The entry of a crashed replica expires, so that the listing alone doesn't show that it may have commits.
test("a replica whose entry is gone is waited for, by what the process saw or what is recorded", async () => {
  const seen = createGroup(silent, createReport("replica", 4));
  const first = suspectPrimary(seen);
  first.changer.checkGroups();
  seen.otherTargets = [{ name: "far" }];
  await seen.checkFor(first.changer, 6000);
  expect(seen.promoted).toEqual([]);

  const recorded = createGroup(silent, createReport("replica", 4));
  recorded.recorded = { targets: recorded.listTargets() };
  recorded.otherTargets = [{ name: "far" }];
  await recorded.checkFor(suspectPrimary(recorded).changer, 6000);
  expect(recorded.promoted).toEqual([]);
});

// A process that has just started knows no former targets; the record can't be read for now.
test("no target is promoted while the record of former targets can't be read", async () => {
  const fixture = createGroup(createReport("replica", 9), createReport("replica", 4));
  fixture.isRecordReadable = false;
  const { changer } = suspectPrimary(fixture);
  await fixture.checkFor(changer, 5000);
  expect(fixture.promoted).toEqual([]);
  fixture.isRecordReadable = true;
  await fixture.checkFor(changer, 3000);
  expect(fixture.promoted).toEqual(["near"]);
});

// The primary comes back with its log while a replica that may have acknowledged commits stays away.
test("an old primary that is back is promoted again when no replica is known to have its log", async () => {
  const fixture = createGroup(silent, createReport("replica", 4));
  const { changer } = suspectPrimary(fixture);
  await fixture.checkFor(changer, 4000);
  expect(fixture.promoted).toEqual([]);
  fixture.targetAnswer = createReport("replica", 9, 2);
  await fixture.checkFor(changer, 5000);
  expect(fixture.promoted).toEqual(["i-0"]);
});

// An earlier holder may have promoted a target that is silent now and has served since.
test("the old primary's log is not taken for whole in a change that another process began", async () => {
  const fixture = createGroup(silent, createReport("replica", 4));
  fixture.targetAnswer = createReport("primary", 9);
  const groups = { ledger: { type: "changing", round: 3, from: "i-0" } } as const;
  fixture.stored = { version: 9, document: { holder: undefined, groups } };
  const { changer, tracker } = fixture.makeProxy("a");
  tracker.adopt({ leadership: fixture.stored, promoted: [] });
  await fixture.checkFor(changer, 6000);
  expect(fixture.promoted).toEqual([]);
  fixture.answers.set("near", createReport("replica", 2, 2, 2));
  await fixture.checkFor(changer, 5000);
  expect(fixture.promoted).toEqual(["near"]);
});

// It restarted empty, so that any replica has as much as it, and the one with its commits is silent.
test("the log of an old primary that lost commits is not taken for whole", async () => {
  const fixture = createGroup(silent, createReport("replica", 4));
  fixture.targetAnswer = createReport("primary", 0);
  const { changer, tracker } = fixture.makeProxy("a");
  tracker.noteLostLog("ledger", "i-0");
  await fixture.checkFor(changer, 6000);
  expect(fixture.promoted).toEqual([]);
  fixture.answers.set("near", createReport("replica", 9));
  await fixture.checkFor(changer, 5000);
  expect(fixture.promoted).toEqual(["near"]);
});

// A lost machine must not keep its group from a change of primary for ever.
test("a replica that is gone is not waited for once another one has all that the primary had since", async () => {
  const fixture = createGroup(silent, createReport("replica", 4));
  const [, near] = fixture.listTargets();
  fixture.recorded = { targets: [], former: near === undefined ? [] : [near] };
  fixture.otherTargets = [{ name: "far" }];
  fixture.targetAnswer = createReport("primary", 6);
  const { changer, tracker } = fixture.makeProxy("a");
  await fixture.checkFor(changer, 5000);
  expect(fixture.forgotten).toEqual([]);
  fixture.answers.set("far", createReport("replica", 6));
  await fixture.checkFor(changer, 5000);
  expect(fixture.forgotten).toContain("near");
  fixture.targetAnswer = silent;
  tracker.noteProbeResult("ledger", "i-0", fixture.clock.time, false);
  await fixture.clock.advance(400);
  await fixture.checkFor(changer, 2000);
  expect(fixture.promoted).toEqual(["far"]);
});

// Each try would interrupt its callers, and could only end with the same primary.
test("a leaving primary serves on until a replica that stays has its log", async () => {
  const fixture = createGroup(silent, createReport("replica", 4));
  fixture.isPrimaryLeaving = true;
  fixture.targetAnswer = createReport("primary", 9);
  const { changer } = fixture.makeProxy("a");
  await fixture.checkFor(changer, 6000);
  expect(fixture.stored).toBeUndefined();
  fixture.answers.set("far", createReport("replica", 9));
  await fixture.checkFor(changer, 4000);
  expect(fixture.promoted).toEqual(["far"]);
});
