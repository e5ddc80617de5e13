import { expect, test } from "@jest/globals";
import type { PromoteResult, TargetAnswer } from "../../src/leadership/index.js";
import { LeadershipFixture } from "./fixture.js";

const lost: PromoteResult = { type: "unknown", reason: "socket hang up" };
const promoteMs = 300;
const orderMs = 5;

function createReport(role: "primary" | "replica", round: number): TargetAnswer {
  const received = { term: { round: 1, vm: "" }, offset: 4 };
  return { type: "report", report: { role, received, round, lagMs: 0 } };
}

/** A group whose primary is silent, and a replica that becomes primary some time after an order to promote it. */
function createGroup(): LeadershipFixture {
  const fixture = new LeadershipFixture();
  fixture.replicaAnswer = createReport("replica", 1);
  return fixture;
}

/** Lets a proxy suspect the primary and act for a while; returns how the group is served then. */
async function replacePrimary(fixture: LeadershipFixture, forMs: number) {
  const { changer, tracker } = fixture.makeProxy("a");
  tracker.noteProbeResult("ledger", "i-0", 0, false);
  fixture.clock.time = 400;
  await fixture.checkFor(changer, forMs);
  return tracker.findLeader("ledger");
}

// The order is carried out and its answer lost, each time: its group was refused, since only the answer counted.
test("a target that reports itself as primary after an unanswered order is served", async () => {
  const fixture = createGroup();
  fixture.promote = async () => {
    await fixture.clock.sleep(promoteMs);
    fixture.replicaAnswer = createReport("primary", 2);
    return lost;
  };
  expect(await replacePrimary(fixture, 2000)).toEqual({ type: "serving", target: "i-1" });
  expect(fixture.promotionCount).toBe(1);
});

// The same order is answered before it has taken effect, so the target is asked too early at first.
test("a promotion that takes effect after its lost answer is noticed", async () => {
  const fixture = createGroup();
  fixture.promote = () => {
    void fixture.clock.sleep(promoteMs).then(() => {
      fixture.replicaAnswer = createReport("primary", 2);
    });
    return Promise.resolve(lost);
  };
  expect(await replacePrimary(fixture, 2000)).toEqual({ type: "serving", target: "i-1" });
});

// A platform that refuses at once for a second used up all orders within a fifth of it, and the change was given up.
test("orders that the platform rejects at once are repeated until it takes them again", async () => {
  const fixture = createGroup();
  fixture.promote = async () => {
    await fixture.clock.sleep(orderMs);
    if (fixture.clock.time < 3000) return { type: "unknown", reason: "status 503" };
    fixture.replicaAnswer = createReport("primary", 2);
    return { type: "accepted" };
  };
  expect(await replacePrimary(fixture, 3500)).toEqual({ type: "serving", target: "i-1" });
  expect(fixture.promotionCount).toBeLessThan(20);
});

// Without the store the lease can't be renewed: the group was refused until it was back, and the target demoted then.
test("a promotion that took effect is served while the store is unavailable", async () => {
  const fixture = createGroup();
  fixture.promote = () => {
    fixture.isStoreAvailable = false;
    void fixture.clock.sleep(2500).then(() => {
      fixture.replicaAnswer = createReport("primary", 2);
    });
    return Promise.resolve(lost);
  };
  expect(await replacePrimary(fixture, 6000)).toEqual({ type: "serving", target: "i-1" });
  fixture.isStoreAvailable = true;
  await fixture.clock.advance(1500);
  const entry = fixture.stored?.document.groups.ledger;
  expect(entry).toMatchObject({ type: "serving", target: "i-1" });
});

// A target that called itself primary before any order may be an older primary that was cut off for a while.
test("a target that called itself primary before the order is not taken for the new one", async () => {
  const fixture = createGroup();
  fixture.replicaAnswer = createReport("primary", 1);
  fixture.promote = () => Promise.resolve(lost);
  expect(await replacePrimary(fixture, 4000)).toMatchObject({ type: "changing" });
});

// An older primary that was cut off was used from the answer on, and committed in a round that was over (ONE).
test("an accepted order for a target that called itself primary counts once it leads a newer round", async () => {
  const fixture = createGroup();
  fixture.replicaAnswer = createReport("primary", 1);
  let isPromoted = false;
  fixture.promote = () => {
    void fixture.clock.sleep(promoteMs).then(() => {
      isPromoted = true;
      fixture.replicaAnswer = createReport("primary", 3);
    });
    return Promise.resolve({ type: "accepted" });
  };
  const { changer, tracker } = fixture.makeProxy("a");
  tracker.noteProbeResult("ledger", "i-0", 0, false);
  fixture.clock.time = 400;
  const isServed = () => tracker.findKnownPrimary("ledger") === "i-1";
  for (let step = 0; step < 100 && !isServed(); step += 1) {
    changer.checkGroups();
    await fixture.clock.advance(10);
  }
  expect(isServed()).toBe(true);
  expect(isPromoted).toBe(true);
});

// The holder of an earlier change ended after its promotion; an order for the platform's primary changes nothing.
test("a target that was primary already and stays so in the same round is served in the end", async () => {
  const fixture = createGroup();
  fixture.replicaAnswer = createReport("primary", 2);
  expect(await replacePrimary(fixture, 1000)).toMatchObject({ type: "changing" });
  await fixture.clock.advance(2000);
  const entry = fixture.stored?.document.groups.ledger;
  expect(entry).toMatchObject({ type: "serving", target: "i-1" });
});
