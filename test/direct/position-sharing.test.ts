import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { GroupPositions, type SharedPositions } from "../../src/direct/group-positions.js";
import { applySharedPositions, sharePositions } from "../../src/direct/position-sharing.js";
import type { Mark } from "../../src/model/index.js";
import { FakeClock } from "../fleet/fakes.js";
import { group, ProxyFixture } from "./fixture.js";

const seed = 31;
const makeMark = (offset: number, round = 1): Mark => ({ term: { round, vm: "p" }, offset });

/** A gateway whose own clock starts at `startMs`. */
function startGateway(startMs: number, isSlotPlanned = true) {
  const fixture = new ProxyFixture({ targets: ["p", "q", "r"], isSlotPlanned });
  fixture.clock.jumpAhead(startMs);
  const found = fixture.groups.find(group);
  if (found === undefined) throw new Error("no group");
  return { fixture, clock: fixture.clock, group: found };
}

/** Two gateways with clocks of their own. */
const startPair = () => ({ home: startGateway(5000), near: startGateway(100_000) });

/** Lets the same time pass at both. */
async function pass(ms: number, ...clocks: readonly FakeClock[]): Promise<void> {
  for (const clock of clocks) await clock.advance(ms);
}

test("a gateway learns the positions of the primary and of replicas", async () => {
  const { home, near } = startPair();
  home.group.notePrimaryMark("p", makeMark(9), home.clock.now());
  home.group.positions.noteReplicaMark("q", makeMark(7), home.clock.now());
  await pass(30, home.clock, near.clock);
  const request = near.group.positions.startRequest();
  const shared = sharePositions(home.group);
  await pass(40, home.clock, near.clock);
  applySharedPositions(near.group, shared, request);
  expect(near.group.findMarkSince(99_000)).toEqual(makeMark(9));
  const required = { mark: makeMark(7), since: 0 };
  expect(near.group.positions.assess("q", required, 0)?.holdsMark).toBe(true);
});

// Guards against a position that is dated by its arrival: commits acknowledged on the way would be missed by reads
// whose required mark comes from it.
test("a position is dated by its request less its age, however late the answer comes", async () => {
  const { home, near } = startPair();
  home.group.notePrimaryMark("p", makeMark(9), home.clock.now());
  await pass(30, home.clock, near.clock);
  const requestedAt = near.clock.now();
  const request = near.group.positions.startRequest();
  await pass(20, home.clock, near.clock);
  const shared = sharePositions(home.group);
  await pass(450, home.clock, near.clock);
  applySharedPositions(near.group, shared, request);
  // The primary was asked 30 ms before the request; the answer says 50 ms, as it was given 20 ms after it.
  expect(near.group.findMarkSince(requestedAt - 50)).toEqual(makeMark(9));
  expect(near.group.findMarkSince(requestedAt - 49)).toBeUndefined();
});

// Guards against a gateway that is stopped between the answer of its primary and its own.
test("the age of a position includes the time for which the telling process was stalled", () => {
  const { home, near } = startPair();
  home.group.notePrimaryMark("p", makeMark(9), home.clock.now());
  const request = near.group.positions.startRequest();
  home.clock.jumpAhead(2000);
  near.clock.jumpAhead(2000);
  const shared = sharePositions(home.group);
  expect(shared.primary?.ageMs).toBe(2000);
  applySharedPositions(near.group, shared, request);
  expect(near.group.findMarkSince(100_000 - 1999)).toBeUndefined();
});

// Guards against a position of a former primary that counts as one of the present one.
test("a position of a target that is no longer the primary is not told and not taken", () => {
  const { home, near } = startPair();
  home.group.notePrimaryMark("p", makeMark(9), home.clock.now());
  const request = near.group.positions.startRequest();
  const shared = sharePositions(home.group);
  near.fixture.primary = { type: "serving", target: "q" };
  applySharedPositions(near.group, shared, request);
  expect(near.group.findMarkSince(0)).toBeUndefined();
  near.fixture.primary = { type: "unknown", reason: "no permit" };
  applySharedPositions(near.group, shared, request);
  expect(near.group.findMarkSince(0)).toBeUndefined();
  for (const primary of [
    { type: "serving", target: "q" },
    { type: "changing", readyInMs: 500, reason: "no permit" },
  ] as const) {
    home.fixture.primary = primary;
    expect(sharePositions(home.group).primary).toBeUndefined();
  }
});

// Guards against a late answer of a former term of the same target.
test("a position of an earlier term does not replace one of the present term", () => {
  const { home, near } = startPair();
  home.group.notePrimaryMark("p", makeMark(90, 1), home.clock.now());
  const request = near.group.positions.startRequest();
  const shared = sharePositions(home.group);
  near.group.notePrimaryMark("p", makeMark(8, 3), near.clock.now());
  applySharedPositions(near.group, shared, request);
  expect(near.group.findMarkSince(0)).toEqual(makeMark(8, 3));
});

// Guards against a machine that was suspended, whose clock stood still: an answer from before appears young.
test("an answer to a request from before a suspension of the asking process is dropped", () => {
  const { home, near } = startPair();
  home.group.notePrimaryMark("p", makeMark(9), home.clock.now());
  const request = near.group.positions.startRequest();
  const shared = sharePositions(home.group);
  near.group.forgetMarks();
  applySharedPositions(near.group, shared, request);
  expect(near.group.findMarkSince(0)).toBeUndefined();
  expect(near.group.positions.listDelays()).toEqual([]);
});

// Guards against a suspension that is noticed only by the query for the primary: the query comes before the check.
test("a suspension that is noticed while the answer is handled drops it", () => {
  const { home, near } = startPair();
  home.group.notePrimaryMark("p", makeMark(9), home.clock.now());
  const request = near.group.positions.startRequest();
  const shared = sharePositions(home.group);
  let isNoticed = false;
  near.fixture.ports.primaries.find = () => {
    if (!isNoticed) near.group.forgetMarks();
    isNoticed = true;
    return { type: "serving", target: "p" };
  };
  applySharedPositions(near.group, shared, request);
  expect(near.group.findMarkSince(0)).toBeUndefined();
});

// Guards against a suspended process that tells positions from before, of which its clock says that they are young.
test("a process that was suspended tells no position that it asked for before", () => {
  const { home } = startPair();
  const askedAt = home.clock.now();
  home.group.notePrimaryMark("p", makeMark(9), askedAt);
  home.clock.jumpAhead(5);
  home.group.forgetMarks();
  expect(sharePositions(home.group)).toEqual({ primary: undefined, replicas: [] });
  // The answer to a command that was sent before the suspension.
  home.group.notePrimaryMark("p", makeMark(10), askedAt);
  expect(sharePositions(home.group).primary).toBeUndefined();
  home.group.notePrimaryMark("p", makeMark(11), home.clock.now());
  expect(sharePositions(home.group).primary?.mark).toEqual(makeMark(11));
});

// Guards against an answer from before a suspension that arrives once the permit is confirmed again: the clock stood
// still, so its date would make a stale replica count as fresh.
test("an answer of the primary to a command from before a suspension is not dated by it", () => {
  const { near } = startPair();
  const askedAt = near.clock.now();
  near.clock.jumpAhead(5);
  near.group.forgetMarks();
  near.group.notePrimaryMark("p", makeMark(9), askedAt);
  expect(near.group.findMarkSince(0)).toBeUndefined();
  near.group.notePrimaryMark("p", makeMark(11), near.clock.now());
  expect(near.group.findMarkSince(0)).toEqual(makeMark(11));
});

// Guards against positions that pass from gateway to gateway: only the first one knew that the target was primary.
test("a position that came from another gateway is not told on", () => {
  const { home, near } = startPair();
  home.group.notePrimaryMark("p", makeMark(9), home.clock.now());
  applySharedPositions(near.group, sharePositions(home.group), near.group.positions.startRequest());
  expect(near.group.findMarkSince(0)).toEqual(makeMark(9));
  expect(sharePositions(near.group).primary).toBeUndefined();
});

// Guards against a change of what deployments do whose configuration does not call for this part.
test("where slots are not planned, nothing is told or taken", () => {
  const home = startGateway(5000, false);
  home.group.notePrimaryMark("p", makeMark(9), home.clock.now());
  expect(sharePositions(home.group)).toEqual({ primary: undefined, replicas: [] });
  const shared: SharedPositions = {
    primary: { target: "p", mark: makeMark(10), ageMs: 0 },
    replicas: [],
  };
  applySharedPositions(home.group, shared, home.group.positions.startRequest());
  expect(home.group.findMarkSince(0)).toEqual(makeMark(9));
});

// Guards against the log of a replica that counts as the primary's: it may have lacked commits that the predecessor
// had acknowledged when the opening of the connection began, by which the position is dated.
test("a target that is promoted while a connection to it is opened gives no position of the primary", async () => {
  const { home } = startPair();
  const { fixture } = home;
  fixture.openedAtOf.set("q", makeMark(5));
  const { dialer } = fixture.ports;
  const open = dialer.open.bind(dialer);
  dialer.open = async (...args) => {
    const link = await open(...args);
    fixture.primary = { type: "serving", target: "q" };
    return link;
  };
  const limits = { deadlineAt: home.clock.now() + 500, signal: new AbortController().signal };
  await home.group.takeConnection("q", "", limits);
  expect(fixture.primary).toEqual({ type: "serving", target: "q" });
  expect(home.group.findMarkSince(0)).toBeUndefined();
  expect(sharePositions(home.group).primary).toBeUndefined();
});

interface Step {
  readonly kind: "own" | "shared";
  /** From the request to the reading of the log, and from there to the answer's arrival, in milliseconds. */
  readonly there: number;
  readonly back: number;
  /** How old the position is that the other gateway tells, in milliseconds. */
  readonly age: number;
  readonly start: number;
}

/** The end of a log that grows at irregular times; its length at a time. */
const findEnd = (growth: readonly number[], at: number) =>
  growth.filter((time) => time <= at).length;

// Guards against data that appears younger than it is. Own and told positions arrive late and out of order. A mark
// that is found for a time must cover whatever the log held by then.
test("no order of own and told positions makes a mark cover less than the log held at its time", async () => {
  const step = fc.record({
    kind: fc.constantFrom("own" as const, "shared" as const),
    there: fc.nat(80),
    back: fc.nat(200),
    age: fc.nat(150),
    start: fc.nat(1000),
  });
  const times = fc.array(fc.nat(1300), { minLength: 5, maxLength: 60 });
  await fc.assert(
    fc.asyncProperty(times, fc.array(step, { maxLength: 40 }), async (growth, steps) => {
      const clock = new FakeClock();
      const positions = new GroupPositions(clock, { onStalledChange: () => undefined });
      const arrivals = steps
        .map((taken: Step) => ({ ...taken, at: taken.start + taken.there + taken.back }))
        .sort((a, b) => a.at - b.at);
      for (const { kind, start, there, age, at } of arrivals) {
        await clock.advance(at - clock.now());
        if (kind === "own") {
          positions.notePrimaryMark("p", makeMark(findEnd(growth, start + there)), start);
          continue;
        }
        // The other gateway handled the request `there` after it was sent; it had asked the primary `age` before.
        const readAt = start + there - age;
        const mark = makeMark(findEnd(growth, readAt));
        const shared = { primary: { target: "p", mark, ageMs: age }, replicas: [] };
        positions.applyShared(shared, { askedAt: start, epoch: 0 }, "p");
      }
      for (let time = -200; time <= 1300; time += 50) {
        const found = positions.findMarkSince(time);
        if (found !== undefined && found.offset < findEnd(growth, time)) return false;
      }
      return true;
    }),
    { seed, numRuns: 200 },
  );
});
