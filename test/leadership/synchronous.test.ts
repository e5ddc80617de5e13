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
