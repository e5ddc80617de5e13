import { expect, test } from "@jest/globals";
import { GroupPositions } from "../../src/direct/group-positions.js";
import type { Mark } from "../../src/model/index.js";
import { FakeClock } from "../fleet/fakes.js";

const makeMark = (offset: number): Mark => ({ term: { round: 1, vm: "p" }, offset });

/** The positions of a group whose primary's log grows by 1 each 100 ms until the given time. */
async function start(untilMs: number) {
  const clock = new FakeClock();
  const changes: string[] = [];
  const positions = new GroupPositions(clock, {
    onStalledChange: (target, isStalled) => changes.push(`${target} ${isStalled}`),
  });
  const report = (target: string, offset: number) =>
    positions.noteReplicaMark(target, makeMark(offset), clock.now());
  report("q", 0);
  for (let offset = 0; offset * 100 <= untilMs; offset += 1) {
    positions.notePrimaryMark("p", makeMark(offset), clock.now());
    await clock.advance(100);
  }
  const assess = (offset: number) =>
    positions.assess("q", { mark: makeMark(offset), since: clock.now() }, 0);
  return { clock, positions, changes, report, assess };
}

// Guards against an event for each report, and a replica that stays stalled for the operator.
test("a replica that stalls and recovers is reported once each", async () => {
  const { changes, report } = await start(2000);
  report("q", 0);
  report("q", 0);
  expect(changes).toEqual(["q true"]);
  report("q", 20);
  report("q", 20);
  expect(changes).toEqual(["q true", "q false"]);
});

test("a stalled replica whose process is replaced no longer counts as stalled, and nothing is known of it", async () => {
  const { positions, changes, report, assess } = await start(2000);
  report("q", 0);
  positions.forgetReplica("q");
  expect(changes).toEqual(["q true", "q false"]);
  expect(assess(5)).toBeUndefined();
});

// Guards against a burst of reads that all try a replica which is expected to lag, and against a try that never ends
// and keeps the replica from being tried again.
test("one read at a time tries a replica that is expected to lag, at most one in 400 ms", async () => {
  const { clock, positions, report, assess } = await start(2000);
  report("q", 0);
  expect(assess(5)).toMatchObject({ readyInMs: Infinity, isProbeDue: true });
  const end = positions.beginProbe("q");
  expect(assess(5)?.isProbeDue).toBe(false);
  await clock.advance(500);
  expect(assess(5)?.isProbeDue).toBe(false);
  end();
  expect(assess(5)?.isProbeDue).toBe(true);
  positions.beginProbe("q")();
  await clock.advance(399);
  expect(assess(5)?.isProbeDue).toBe(false);
  await clock.advance(1);
  expect(assess(5)?.isProbeDue).toBe(true);
});

// Guards against a replica that refuses reads for positions which it had reported, and is asked again at once.
test("a refusal of a position that a replica had reported discards its record", async () => {
  const { positions, report, assess } = await start(500);
  report("q", 4);
  expect(assess(4)?.holdsMark).toBe(true);
  positions.noteRefused("q", makeMark(5));
  expect(assess(4)?.holdsMark).toBe(true);
  positions.noteRefused("q", makeMark(4));
  expect(assess(4)).toBeUndefined();
});

// Guards against a replaced primary: the offsets of its term say nothing about the new one's log.
test("after a change of primary nothing is known until replicas report positions of the new term", async () => {
  const { clock, positions, report, assess } = await start(500);
  report("q", 5);
  const next: Mark = { term: { round: 2, vm: "r" }, offset: 5 };
  positions.notePrimaryMark("r", next, clock.now());
  expect(assess(5)).toBeUndefined();
  expect(positions.assess("q", { mark: next, since: clock.now() }, 0)).toBeUndefined();
  positions.noteReplicaMark("q", next, clock.now());
  expect(positions.assess("q", { mark: next, since: 0 }, 0)?.holdsMark).toBe(true);
});
