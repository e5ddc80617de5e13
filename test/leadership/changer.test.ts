import { expect, test } from "@jest/globals";
import { LeadershipFixture } from "./fixture.js";

/** Looks at the primary as one that was silent to a statement and to a probe, and lets a change run. */
const suspect = async (fixture: LeadershipFixture) => {
  const { changer, tracker } = fixture.makeProxy("a");
  tracker.noteProbeResult("ledger", "i-0", 0, false);
  fixture.clock.time = 400;
  changer.checkGroups();
  await fixture.clock.advance(1000);
  return fixture.logLines.map(({ event }) => event.name);
};

// Much is asked of a primary: its slots are all taken, and a probe gets no connection in its time. Were
// it taken as gone, it would be replaced for being busy, and the next one after it.
test("a primary that has no slot to answer in is kept", async () => {
  const fixture = new LeadershipFixture();
  fixture.targetAnswer = { type: "alive" };
  const events = await suspect(fixture);
  expect(events).toContain("leaderSuspected");
  expect(events).toContain("primaryKept");
  expect(fixture.stored).toBeUndefined();
});

// A probe got no connection in its time, but a statement was answered meanwhile.
test("a primary that answers statements is not suspected for a probe that failed", async () => {
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

test("a primary that answers nobody is replaced", async () => {
  const fixture = new LeadershipFixture();
  const events = await suspect(fixture);
  expect(events).toContain("primaryChangeBegun");
  expect(fixture.stored?.document.groups.ledger?.type).toBe("changing");
});
