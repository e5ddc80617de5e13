import { afterEach, expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  chooseCandidates,
  type CandidateTarget,
  type CrossingCost,
} from "../../src/direct/candidates.js";
import { CrossingTimes } from "../../src/direct/crossing.js";
import { healthyTarget, noteFailure, noteLagging, noteSaturated } from "../../src/direct/health.js";
import { Topology, type Distance } from "../../src/topology/index.js";
import { ProxyFixture, read as makeRead, write as makeWrite } from "./fixture.js";

const seed = 89;
const now = 100;

const view = (
  name: string,
  distance: Distance,
  change: Partial<CandidateTarget> = {},
): CandidateTarget => ({
  name,
  isLeaving: false,
  isLocal: distance === "dataCentre",
  distance,
  health: healthyTarget,
  running: 0,
  hasIdle: true,
  slots: 2,
  occupiedSlots: 0,
  ...change,
});
const full = { running: 2, occupiedSlots: 2 };
const lagging = { health: noteLagging(healthyTarget, 90) };

const serving = { type: "serving", target: "p" } as const;
const read = {
  needsPrimary: false,
  hasRequiredMark: true,
  isBackground: false,
  excluded: new Set<string>(),
};
/** The waits in this region and in the other one, in milliseconds; crossing takes 60 ms. */
const makeCost = (nearMs: number, remoteMs = 0): CrossingCost => ({
  estimateWaitMs: (names) => (names.every((name) => name.startsWith("near")) ? nearMs : remoteMs),
  estimateCrossingMs: () => 60,
});
const choose = (
  views: readonly CandidateTarget[],
  cost: CrossingCost = makeCost(0),
  demand: typeof read = read,
) => chooseCandidates(demand, serving, views, now, () => 0.5, cost);

const remotePrimary = view("p", "remote");
const near = view("near", "region");
const remote = view("remote", "remote");

test("a read takes a busier target of its region while that has a free slot", () => {
  const busy = { ...near, running: 1, occupiedSlots: 1, hasIdle: false };
  expect(choose([remotePrimary, busy, remote])).toEqual({
    type: "targets",
    role: "replica",
    names: ["near"],
  });
});

test("among targets of the region the least loaded one is taken, its own data centre first", () => {
  const local = view("near-local", "dataCentre");
  expect(choose([remotePrimary, near, local, remote])).toMatchObject({ names: ["near-local"] });
  const busy = { ...local, running: 1, occupiedSlots: 1 };
  expect(choose([remotePrimary, near, busy, remote])).toMatchObject({ names: ["near"] });
});

test("a read waits in its region while the wait is no longer than crossing takes", () => {
  const views = [remotePrimary, { ...near, ...full }, remote];
  expect(choose(views, makeCost(60))).toMatchObject({ names: ["near"], leavesRegionAfterMs: 60 });
  expect(choose(views, makeCost(61))).toMatchObject({ names: ["remote"] });
});

// The other region is as loaded: leaving would add the way there to the same wait.
test("a read stays in its region while the wait elsewhere is as long", () => {
  const views = [remotePrimary, { ...near, ...full }, { ...remote, ...full }];
  expect(choose(views, makeCost(100, 80))).toMatchObject({ names: ["near"] });
  expect(choose(views, makeCost(150, 80))).toMatchObject({ names: ["near", "remote"] });
});

// A slot that is taken but whose connection is still being opened does not count as running.
test("a slot that waits for its connection is not free", () => {
  const opening = { ...near, running: 0, occupiedSlots: 2 };
  expect(choose([remotePrimary, opening, remote], makeCost(70))).toMatchObject({
    names: ["remote"],
  });
});

test("without an eligible replica in the region its primary is used before another region's replica", () => {
  const primary = view("p", "region");
  const late = { ...near, ...lagging };
  expect(choose([primary, late, remote])).toMatchObject({ role: "primary", names: ["p"] });
  expect(choose([{ ...primary, ...full }, late, remote])).toMatchObject({ names: ["remote"] });
  const saturated = { ...primary, health: noteSaturated(healthyTarget, 90) };
  expect(choose([saturated, late, remote])).toMatchObject({ names: ["remote"] });
});

// Background reads that took the last slot of a primary would delay its writes.
test("a background read leaves a slot of its region's primary free", () => {
  const background = { ...read, isBackground: true };
  const busy = view("p", "region", { running: 1, occupiedSlots: 1 });
  const late = { ...near, ...lagging };
  expect(choose([busy, late, remote], makeCost(0), background)).toMatchObject({
    names: ["remote"],
  });
  const idle = view("p", "region");
  expect(choose([idle, late, remote], makeCost(0), background)).toMatchObject({ names: ["p"] });
});

test("an idle replica of the region comes before the local primary, which comes before a busy one", () => {
  const primary = view("p", "dataCentre");
  expect(choose([primary, near, remote])).toMatchObject({ names: ["near"] });
  const busy = { ...near, running: 1, occupiedSlots: 1 };
  expect(choose([primary, busy, remote])).toMatchObject({ role: "primary", names: ["p"] });
});

test("a target that lags, fails, leaves or refused the read is not eligible", () => {
  const unfit: readonly Partial<CandidateTarget>[] = [
    lagging,
    { health: noteFailure(healthyTarget, 90) },
    { isLeaving: true },
  ];
  for (const change of unfit) {
    expect(choose([remotePrimary, { ...near, ...change }, remote])).toMatchObject({
      names: ["remote"],
    });
  }
  const demand = { ...read, excluded: new Set(["near"]) };
  expect(choose([remotePrimary, near, remote], makeCost(0), demand)).toMatchObject({
    names: ["remote"],
  });
});

// The link between the regions is lost, and with it the primary and the permit to use it.
test("a read is served in its region while the other region does not answer", () => {
  const silent = { health: noteFailure(healthyTarget, 90) };
  const views = [{ ...remotePrimary, ...silent }, near, { ...remote, ...silent }];
  expect(choose(views)).toMatchObject({ names: ["near"] });
  const unknown = { type: "unknown", reason: "no permit" } as const;
  const late = [
    { ...near, ...lagging },
    { ...remote, ...silent },
  ];
  const decide = (at: number) => chooseCandidates(read, unknown, late, at, () => 0.5);
  expect(decide(now)).toMatchObject({ type: "wait", readyInMs: lagging.health.laggingUntil - now });
  expect(decide(lagging.health.laggingUntil)).toMatchObject({ names: ["near"] });
});

test("a statement for the primary waits for it in whatever region it is", () => {
  const write = { ...read, needsPrimary: true };
  expect(choose([remotePrimary, near], makeCost(0), write)).toMatchObject({ names: ["p"] });
});

// Guards deployments without regions: no choice and no random draw may depend on the distance.
test("without a target in another region the distance changes no choice and no draw", () => {
  const health = fc.constantFrom(
    healthyTarget,
    noteLagging(healthyTarget, 90),
    noteFailure(healthyTarget, 90),
    noteSaturated(healthyTarget, 90),
  );
  const targets = fc.array(
    fc.record({
      isLeaving: fc.boolean(),
      isLocal: fc.boolean(),
      health,
      running: fc.integer({ min: 0, max: 3 }),
      hasIdle: fc.boolean(),
      slots: fc.integer({ min: 0, max: 3 }),
      occupiedSlots: fc.integer({ min: 0, max: 3 }),
    }),
    { minLength: 1, maxLength: 4 },
  );
  const primaries = fc.constantFrom(
    { type: "serving", target: "t0" } as const,
    { type: "changing", readyInMs: 30, reason: "x" } as const,
    { type: "unknown", reason: "x" } as const,
  );
  const chooseCounting = (
    views: readonly CandidateTarget[],
    primary: Parameters<typeof chooseCandidates>[1],
    demand: typeof read,
    cost: CrossingCost | undefined,
  ) => {
    let draws = 0;
    const draw = () => {
      draws += 1;
      return 0.7;
    };
    return { choice: chooseCandidates(demand, primary, views, now, draw, cost), draws };
  };
  fc.assert(
    fc.property(targets, primaries, fc.boolean(), (states, primary, isBackground) => {
      const plain = states.map((state, i): CandidateTarget => ({ name: `t${i}`, ...state }));
      const measured = plain.map((target): CandidateTarget => ({
        ...target,
        distance: target.isLocal ? "dataCentre" : "region",
      }));
      const demand = { ...read, isBackground };
      expect(chooseCounting(measured, primary, demand, makeCost(900))).toEqual(
        chooseCounting(plain, primary, demand, undefined),
      );
    }),
    { seed },
  );
});

test("crossing costs the shortest recent response time, and the usual one where none is known", () => {
  let time = 0;
  const times = new CrossingTimes(() => time);
  expect(times.estimateMs(["x"])).toBe(60);
  times.record("x", 90);
  times.record("x", 75);
  times.record("y", 80);
  expect(times.estimateMs(["x", "y"])).toBe(75);
  expect(times.estimateMs(["y"])).toBe(80);
  time = 15_000;
  times.record("x", 110);
  expect(times.estimateMs(["x"])).toBe(75);
  time = 26_000;
  expect(times.estimateMs(["x"])).toBe(110);
  time = 60_000;
  expect(times.estimateMs(["x"])).toBe(60);
});

const topology = new Topology(
  new Map([
    ["a", "east"],
    ["b", "east"],
    ["c", "west"],
  ]),
);
let fixture: ProxyFixture | undefined;
afterEach(() => fixture?.dispose());

/** A proxy with one replica in its region, and the primary and a replica in the other. */
function createRegions(): ProxyFixture {
  fixture = new ProxyFixture({
    targets: ["p", "near", "remote"],
    dataCentres: ["c", "b", "c"],
    connections: 5,
    proxies: 4,
    topology,
  });
  return fixture;
}

/** The same proxy, which knows a mark that its reads require. */
function startRegions(): ProxyFixture {
  const started = createRegions();
  const mark = { term: { round: 1, vm: "" }, offset: 4 };
  started.clock.jumpAhead(1000);
  started.groups.find("ledger")?.notePrimaryMark("p", mark, started.clock.now());
  started.clock.jumpAhead(1);
  return started;
}

const start = (on: ProxyFixture, id: string) => void on.open("own").run(makeRead(id));

/** Starts one read more than the region's replica has slots. Returns the number of these slots. */
async function fillRegion(started: ProxyFixture): Promise<number> {
  const candidates = started.groups.find("ledger")?.listCandidates("") ?? [];
  const slots = candidates.find(({ name }) => name === "near")?.slots ?? 0;
  for (let i = 0; i <= slots; i += 1) {
    start(started, `r${i}`);
    await started.advance(1);
  }
  return slots;
}

// The names of targets change with each new process. A time kept for each name would be kept for ever.
test("the response time of a target is forgotten when it is no longer listed", () => {
  const regions = createRegions();
  const group = regions.groups.find("ledger");
  const listed = regions.ports.getServingConfig().groups.get("ledger");
  if (group === undefined || listed === undefined) throw new Error("no group");
  group.noteResponseTime("remote", 40);
  expect(group.estimateCrossingMs(["remote"])).toBe(40);
  group.update({ ...listed, targets: listed.targets.filter(({ name }) => name !== "remote") });
  group.update(listed);
  expect(group.estimateCrossingMs(["remote"])).toBe(60);
});

test("reads fill the region's replica first and wait there before they cross", async () => {
  const started = startRegions();
  const slots = await fillRegion(started);
  expect(started.list("near", "work")).toHaveLength(slots);
  expect(started.list("remote", "work")).toHaveLength(0);
  started.list("near", "work")[0]?.answer();
  await started.advance(1);
  expect(started.list("near", "work")).toHaveLength(slots + 1);
  await started.advance(100);
  expect(started.list("remote", "work")).toHaveLength(0);
});

test("a read that leaves its region is counted as crossing", async () => {
  const started = startRegions();
  await fillRegion(started);
  expect(started.crossings).toEqual([]);
  await started.advance(70);
  expect(started.crossings).toEqual(["read"]);
});

test("writes and transactions at a primary of another region are counted as crossing", async () => {
  const started = createRegions();
  const session = started.open("primary");
  const written = session.run(makeWrite("w"));
  await started.advance(1);
  expect(started.crossings).toEqual(["write"]);
  started.list("p", "work")[0]?.answer();
  await written;
  await session.run({ type: "begin", id: "b", isReadOnly: false });
  void session.run(makeWrite("t"));
  await started.advance(1);
  expect(started.crossings.slice(1)).toEqual(["transaction", "transaction"]);
});

// The region's replica stops answering while a read waits for one of its slots.
test("a read that has waited in its region for as long as crossing takes leaves it", async () => {
  const started = startRegions();
  const slots = await fillRegion(started);
  await started.advance(55);
  expect(started.list("remote", "work")).toHaveLength(0);
  await started.advance(10);
  expect(started.list("near", "work")).toHaveLength(slots);
  expect(started.list("remote", "work")).toHaveLength(1);
});

/** Sends a read to the primary that is answered after a time; returns the primaries that were reported silent. */
async function answerAfter(started: ProxyFixture, ms: number): Promise<readonly string[]> {
  const reply = started.open("primary").run(makeRead("r"));
  await started.advance(1);
  await new Promise((resolve) => setTimeout(resolve, ms));
  started.list("p", "work")[0]?.answer();
  await reply;
  return started.silentPrimaries;
}

// Each report of silence opens another connection to the primary, which takes one of its slots.
test("a primary of another region is not silent when it answers a round trip of 60 ms later", async () => {
  expect(await answerAfter(createRegions(), 175)).toEqual([]);
});

test("without regions a primary is silent after the usual time", async () => {
  fixture = new ProxyFixture({ dataCentres: ["c", "b"] });
  expect(await answerAfter(fixture, 175)).toEqual(["p"]);
});
