import { expect, test } from "@jest/globals";
import { singleRegion, Topology } from "../../src/topology/index.js";
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

// While processors are busy all targets answer late; replacing every primary then stops all writes for seconds.
test("a primary that answers no request is kept while no other target answers either", async () => {
  const fixture = new LeadershipFixture();
  fixture.replicaAnswer = { type: "silent" };
  const events = await suspect(fixture);
  expect(events).toContain("primaryKept");
  expect(fixture.stored).toBeUndefined();
});

test("a primary that answers no request is replaced when a replica answers", async () => {
  const fixture = new LeadershipFixture();
  fixture.replicaAnswer = { type: "alive" };
  const events = await suspect(fixture);
  expect(events).toContain("primaryChangeBegun");
});

// A primary that is kept again and again must not be asked for by every proxy each 0.4 s.
test("the pause before a kept primary is checked again grows", async () => {
  const fixture = new LeadershipFixture();
  fixture.replicaAnswer = { type: "silent" };
  const { changer, tracker } = fixture.makeProxy("a");
  tracker.noteProbeResult("ledger", "i-0", 0, false);
  const suspectedAt: number[] = [];
  for (let now = 400; now < 8000; now += 100) {
    fixture.clock.time = now;
    const before = fixture.logLines.length;
    changer.checkGroups();
    await fixture.clock.advance(100);
    if (fixture.logLines.length > before) suspectedAt.push(now);
  }
  expect(suspectedAt.length).toBeLessThanOrEqual(7);
  expect(suspectedAt.length).toBeGreaterThanOrEqual(4);
});

const regions = new Topology(
  new Map([
    ["a", "east"],
    ["b", "east"],
    ["c", "west"],
  ]),
);

/** A primary in data centre `a` and two replicas with equal logs, of which the second is in its region. */
function createGroup(topology: Topology): LeadershipFixture {
  const fixture = new LeadershipFixture();
  fixture.topology = topology;
  fixture.otherTargets = [
    { name: "i-1", dataCentre: "c" },
    { name: "i-2", dataCentre: "b" },
  ];
  const received = { term: { round: 1, vm: "" }, offset: 4 };
  fixture.replicaAnswer = {
    type: "report",
    report: { role: "replica", received, round: 1, lagMs: 0 },
  };
  return fixture;
}

/** Replaces the silent primary of such a group; returns the new one. */
async function replacePrimary(topology: Topology): Promise<string | undefined> {
  const fixture = createGroup(topology);
  const { changer, tracker } = fixture.makeProxy("a");
  tracker.noteProbeResult("ledger", "i-0", 0, false);
  fixture.clock.time = 400;
  changer.checkGroups();
  await fixture.clock.advance(8000);
  return fixture.promoted[0];
}

test("the new primary is in the region of the replaced one where logs are equally complete", async () => {
  expect(await replacePrimary(regions)).toBe("i-2");
  expect(await replacePrimary(singleRegion)).toBe("i-1");
});

// A proxy leaves a primary that another one has just installed alone for some seconds. If that primary's entry is
// removed meanwhile, its region must be known afterwards, or any region gets the new primary.
test("the region of a primary that was lost soon after its installation by another proxy is known", async () => {
  const fixture = createGroup(regions);
  const { changer, tracker } = fixture.makeProxy("a");
  const install = (version: number, target: string) => {
    const entry = { type: "serving", round: version, target, by: "b" } as const;
    const document = { holder: undefined, groups: { ledger: entry } };
    fixture.stored = { version, document };
    tracker.adopt({ leadership: fixture.stored, promoted: [] });
    changer.checkGroups();
  };
  install(1, "i-2");
  install(2, "i-0");
  fixture.isPrimaryListed = false;
  await fixture.clock.advance(4000);
  changer.checkGroups();
  await fixture.clock.advance(8000);
  expect(fixture.promoted[0]).toBe("i-2");
});

// An unexpected error in the check of one group must not keep all others at a failed primary.
test("a group that can't be checked doesn't keep another one's primary from being replaced", async () => {
  const fixture = new LeadershipFixture();
  fixture.groups = ["odd", "ledger"];
  const received = { term: { round: 1, vm: "" }, offset: 4 };
  const report = { role: "replica", received, round: 1, lagMs: 0 } as const;
  fixture.replicaAnswer = { type: "report", report };
  const { changer, tracker } = fixture.makeProxy("a");
  tracker.noteProbeResult("ledger", "i-0", 0, false);
  fixture.clock.time = 400;
  await fixture.checkFor(changer, 1000);
  expect(fixture.promoted).toEqual(["i-1"]);
});
