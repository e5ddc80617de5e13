import { afterEach, expect, test } from "@jest/globals";
import { Topology } from "../../src/topology/index.js";
import { answered, group } from "../direct/fixture.js";
import { findEnd, makeRead } from "./hop.js";
import { lagging, learnMark, RedirectFleet, type FleetOptions } from "./redirect-fleet.js";

let fleet: RedirectFleet;

afterEach(() => fleet.dispose());

const twoRegions = new Topology(
  new Map([
    ["a", "west"],
    ["b", "east"],
    ["c", "west"],
  ]),
);

/** Starts a fleet with the primary and one replica in the other region; the replica of this region is unreachable. */
async function startWithoutTarget(options: FleetOptions = {}): Promise<void> {
  const stage = { targets: ["p", "q", "r"], topology: twoRegions };
  fleet = await RedirectFleet.start({ ...options, stage });
  for (const gateway of [fleet.home, fleet.spare]) {
    learnMark(gateway.stage);
    fleet.answerAll(gateway.stage, lagging);
  }
  const near = options.isEntryNear === true ? fleet.entry : fleet.near.stage;
  learnMark(near);
  near.groups.find(group)?.noteFailure("q");
}

const countWork = (stage: { readonly sent: readonly unknown[] }): number => stage.sent.length;
const runReads = (count: number) =>
  Promise.all(Array.from({ length: count }, (_, i) => fleet.open("own").run(makeRead(`${i}`))));

// The only target of a region is lost: its gateway has few slots at targets of the other region, and reads would
// wait there to their deadlines while gateways of the other region have room.
test.each([false, true])(
  "reads of a region without a usable target go to gateways of the other region, entry is gateway: %p",
  async (isEntryNear) => {
    await startWithoutTarget({ isEntryNear });
    const replies = await runReads(20);
    expect(replies.map(findEnd)).toEqual(Array<string>(20).fill("complete"));
    const near = isEntryNear ? fleet.entry : fleet.near.stage;
    expect(countWork(near)).toBe(0);
    expect(countWork(fleet.home.stage) + countWork(fleet.spare.stage)).toBeGreaterThanOrEqual(20);
  },
);

// The gateways of the other region do not answer: reads wait for the targets of this region as before.
test("reads stay in a region without a usable target if no other region answers", async () => {
  await startWithoutTarget();
  for (const gateway of [fleet.home, fleet.spare]) fleet.near.avoided.add(gateway.vm);
  fleet.answerAll(fleet.near.stage, lagging);
  const replies = await runReads(1);
  expect(replies.map(findEnd)).toEqual(["complete"]);
  expect(countWork(fleet.near.stage)).toBeGreaterThan(0);
});

// After the replica of this region has answered again, reads must not go on crossing.
test("reads return to their region when its target answers again", async () => {
  await startWithoutTarget();
  await runReads(2);
  fleet.near.stage.groups.find(group)?.noteAnswer("q");
  await fleet.entry.advance(500);
  fleet.answerAll(fleet.near.stage, answered());
  const before = countWork(fleet.home.stage) + countWork(fleet.spare.stage);
  const replies = await runReads(1);
  expect(replies.map(findEnd)).toEqual(["complete"]);
  expect(countWork(fleet.home.stage) + countWork(fleet.spare.stage)).toBe(before);
});
