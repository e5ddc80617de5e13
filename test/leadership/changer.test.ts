import { expect, test } from "@jest/globals";
import { LeadershipFixture } from "./fixture.js";

/** Makes a proxy suspect the primary after an unanswered statement and a failed probe; returns the logged events. */
const suspect = async (fixture: LeadershipFixture) => {
  const { changer, tracker } = fixture.makeProxy("a");
  tracker.noteProbeResult("ledger", "i-0", 0, false);
  fixture.clock.time = 400;
  changer.checkGroups();
  await fixture.clock.advance(1000);
  return fixture.logLines.map(({ event }) => event.name);
};

// An overloaded primary has all slots in use, so a probe gets no connection in time. If it counted as unreachable,
// it would be replaced because of its load, and then its successor.
test("a primary whose slots are all in use is kept", async () => {
  const fixture = new LeadershipFixture();
  fixture.targetAnswer = { type: "alive" };
  const events = await suspect(fixture);
  expect(events).toContain("leaderSuspected");
  expect(events).toContain("primaryKept");
  expect(fixture.stored).toBeUndefined();
});

// A probe gets no connection in time, but the primary answers a statement after the probe began.
test("a primary that answers statements is not suspected because of a failed probe", async () => {
  const fixture = new LeadershipFixture();
  const { changer, tracker } = fixture.makeProxy("a");
  fixture.clock.time = 200;
  tracker.noteContact("ledger", "i-0", true);
  tracker.noteProbeResult("ledger", "i-0", 100, false);
  fixture.clock.time = 600;
  changer.checkGroups();
  await fixture.clock.advance(1000);
  expect(fixture.logLines.map(({ event }) => event.name)).not.toContain("leaderSuspected");
});

test("a primary that answers no request is replaced", async () => {
  const fixture = new LeadershipFixture();
  const events = await suspect(fixture);
  expect(events).toContain("primaryChangeBegun");
  expect(fixture.stored?.document.groups.ledger?.type).toBe("changing");
});
