import { expect, test } from "@jest/globals";
import { FakeTarget } from "../../bench/failover/faketarget.js";
import { allAcknowledgeSafeguards } from "../../src/controller/acknowledge/index.js";
import { allFailoverSafeguards } from "../../src/controller/failover/index.js";
import { openTerm } from "../../src/model/index.js";
import { maxFailoverMs, FailoverScenario } from "./scenario.js";

const safeguards = { ...allFailoverSafeguards, ...allAcknowledgeSafeguards };

// Guards against losing an acknowledged write. The owner and the primary are partitioned from the
// other targets, which get a new primary. The owner's last answers from them were requested before
// the commit and say that they are not fenced.
test.each([true, false])(
  "a primary on the minority side, freshness check %s",
  async (freshness) => {
    const scenario = new FailoverScenario({ safeguards: { ...safeguards, freshness } });
    const old = await scenario.waitUntilSteady();
    await scenario.findPrimary("v2");
    scenario.fleet.setPartition("v1", old, true);
    await scenario.findPrimary("v2", old);
    expect(await scenario.write("v1", "witnessed")).toBe(freshness ? "mayHaveRun" : "acknowledged");
    expect(scenario.fleet.violations.length > 0).toBe(!freshness);
    await scenario.fleet.dispose();
  },
);

// Guards against two primaries in one term. The candidate is promoted and only its answer is lost.
// A promoter that picks the next candidate from the old answers promotes a second target in that
// term.
test.each([true, false])(
  "a candidate that does not answer, majority fenced again %s",
  async (refenceMajority) => {
    const scenario = new FailoverScenario({ safeguards: { ...safeguards, refenceMajority } });
    const old = await scenario.waitUntilSteady();
    scenario.group.setState(old, "dead");
    scenario.group.onPromotion = (_, { name }) =>
      scenario.group.setFault("v1", name, "answersLost");
    await scenario.clock.advance(maxFailoverMs);
    expect(scenario.fleet.violations.length > 0).toBe(!refenceMajority);
    await scenario.fleet.dispose();
  },
);

// Guards against losing an acknowledged write. One replica has it and the other lags. The lagging
// one is fenced first, and a promoter that does not wait for a majority promotes it.
test.each([true, false])(
  "the lagging replica answers first, majority required %s",
  async (fenceMajority) => {
    const scenario = new FailoverScenario({ safeguards: { ...safeguards, fenceMajority } });
    const old = await scenario.waitUntilSteady();
    const [fast = "", lagging = ""] = ["t1", "t2", "t3"].filter((t) => t !== old);
    await scenario.clock.advance(maxFailoverMs);
    scenario.group.get(lagging).lagMs = maxFailoverMs;
    expect(await scenario.write()).toBe("acknowledged");
    scenario.group.setSlow("v1", fast, 40);
    scenario.group.setState(old, "dead");
    await scenario.findPrimary("v1", old);
    expect(scenario.fleet.violations.length > 0).toBe(!fenceMajority);
    await scenario.fleet.dispose();
  },
);

// Guards against losing an acknowledged write. A promote request of an earlier term is delayed
// until the target has been fenced again and follows the next primary. If it accepts the request,
// the records that it has confirmed count as a log of the earlier term, and a shorter log wins the
// next election.
test.each([true, false])("a promotion arrives late, exact term required %s", (isExact) => {
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

// Guards against two primaries in one term. A VM's process is replaced while it is paused, and both
// runs open the same round. With the same name, each fences a majority and promotes its own
// candidate.
test.each([true, false])("two runs of one VM, different promoter names %s", (isDifferent) => {
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
