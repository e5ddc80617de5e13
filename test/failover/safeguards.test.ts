import { expect, test } from "@jest/globals";
import { FakeTarget } from "../../bench/failover/faketarget.js";
import { allAcknowledgeSafeguards } from "../../src/controller/acknowledge/index.js";
import { allFailoverSafeguards } from "../../src/controller/failover/index.js";
import { openTerm } from "../../src/model/index.js";
import { maxFailoverMs, FailoverScenario } from "./scenario.js";

const safeguards = { ...allFailoverSafeguards, ...allAcknowledgeSafeguards };

// A caller is told that its write is kept, and it is gone. Its owner and the primary are parted from
// the rest, which elects another primary; the owner's last answers of the others, asked for before
// the commit, say that they are not fenced.
test.each([true, false])("a primary on the minority side, freshness %s", async (freshness) => {
  const scene = new FailoverScenario({ safeguards: { ...safeguards, freshness } });
  const old = await scene.waitUntilSteady();
  await scene.findPrimary("v2");
  scene.fleet.setPartition("v1", old, true);
  await scene.findPrimary("v2", old);
  expect(await scene.write("v1", "witnessed")).toBe(freshness ? "mayHaveRun" : "acknowledged");
  expect(scene.fleet.violations.length > 0).toBe(!freshness);
  await scene.fleet.dispose();
});

// Two targets acknowledge in one term. The choice is promoted and only its answer is lost; a
// promoter that takes the next best of the old answers promotes a second target in the same term.
test.each([true, false])("a choice that seems dead, fencing anew %s", async (fenceAnew) => {
  const scene = new FailoverScenario({ safeguards: { ...safeguards, refenceMajority: fenceAnew } });
  const old = await scene.waitUntilSteady();
  scene.group.setState(old, "dead");
  scene.group.onPromotion = (_, { name }) => scene.group.setFault("v1", name, "answersLost");
  await scene.clock.advance(maxFailoverMs);
  expect(scene.fleet.violations.length > 0).toBe(!fenceAnew);
  await scene.fleet.dispose();
});

// A caller's acknowledged write is gone. One replica holds it, the other lags; the lagging one is
// the first to be fenced, and a promoter that does not wait for a majority promotes it.
test.each([true, false])(
  "the lagging replica answers first, majority %s",
  async (fenceMajority) => {
    const scene = new FailoverScenario({ safeguards: { ...safeguards, fenceMajority } });
    const old = await scene.waitUntilSteady();
    const [fast = "", lagging = ""] = ["t1", "t2", "t3"].filter((t) => t !== old);
    await scene.clock.advance(maxFailoverMs);
    scene.group.get(lagging).lagMs = maxFailoverMs;
    expect(await scene.write()).toBe("acknowledged");
    scene.group.setSlow("v1", fast, 40);
    scene.group.setState(old, "dead");
    await scene.findPrimary("v1", old);
    expect(scene.fleet.violations.length > 0).toBe(!fenceMajority);
    await scene.fleet.dispose();
  },
);

// A caller's acknowledged write is gone. A promotion of an earlier term was long on its way; the
// target had been fenced since, and followed the next primary. Where it takes the promotion all the
// same, what it had confirmed to hold counts as a log of the earlier term, and a shorter log wins.
test.each([true, false])("a promotion arrives late, exact term %s", (isExact) => {
  const [a, b] = [openTerm("v1", []), openTerm("v2", [openTerm("v1", [])])];
  const target = new FakeTarget("t2");
  target.isExact = isExact;
  target.fence(a);
  target.fence(b);
  target.follow("t3", b);
  target.copy("t3", [
    { term: b, write: "" },
    { term: b, write: "kept" },
  ]);
  expect(target.promote(a).type).toBe(isExact ? "refused" : "accepted");
  expect(target.mark.term).toEqual(isExact ? b : a);
});

// Two targets acknowledge in one term. A VM's process is replaced while it is paused, and both runs
// open the same round; with the same name each of them fences a majority and promotes its own choice.
test.each([true, false])("two runs of one VM, names that differ %s", (isDifferent) => {
  const targets = ["t1", "t2", "t3"].map((name) => new FakeTarget(name));
  const [t1, t2, t3] = targets as [FakeTarget, FakeTarget, FakeTarget];
  const before = openTerm("v1-b", []);
  const after = openTerm(isDifferent ? "v1-a" : "v1-b", []);
  const isFenced = (fenced: FakeTarget[], term: typeof before) =>
    fenced.every((t) => t.fence(term).type === "accepted");
  const leaders = [
    isFenced([t1, t2], before) && t1.promote(before).type === "accepted",
    isFenced([t2, t3], after) && t3.promote(after).type === "accepted",
  ];
  expect(leaders).toEqual([true, !isDifferent]);
});
