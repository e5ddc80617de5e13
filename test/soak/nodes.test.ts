import { beforeAll, expect, test } from "@jest/globals";
import {
  buildBundle,
  computeAnsweredShare,
  defaultSite,
  listBreaches,
  listSupersededBreaches,
  planFaults,
  runNodeSoak,
  summariseServed,
  type SoakSite,
  type TimedFault,
} from "../../standin/soak/nodes/index.js";

/** The users' rules: a quarter is served again once processes are back, and 60 % unserved fails a day. */
const minRecoveredShare = 0.25;
const maxUnservedShare = 0.6;
/** More than is served while one group of three is refused. */
const minServedShare = 0.9;
const durationMs = 25_000;
const lastSeconds = 5;
const runTimeoutMs = 180_000;

beforeAll(() => {
  buildBundle(process.cwd());
});

// Processes are killed and restarted while others keep the processor busy: callers must not stay refused.
test.each([{ seed: 3 }, { seed: 8 }])(
  "real nodes serve through kills, restarts and a busy processor: seed $seed",
  async ({ seed }) => {
    const teams = ["cello", "viola"].map((name) => ({
      name,
      weight: 1,
      ratePerSecond: 240,
      burst: 120,
    }));
    const site = { ...defaultSite, teams };
    const names = ["kill", "killAll", "restart", "busy", "storeBusy"] as const;
    const report = await runNodeSoak({
      site,
      seed,
      durationMs,
      faults: planFaults(seed, site, durationMs, names, 3),
      scale: 0.5,
      leadMs: 12_000,
      repository: process.cwd(),
      onEvent: () => undefined,
    });
    const { total, seconds } = report.served;
    expect(report).toMatchObject({ breaches: [], unexpectedEnds: 0 });
    expect(1 - computeAnsweredShare(total)).toBeLessThanOrEqual(maxUnservedShare);
    for (const second of seconds.slice(-lastSeconds)) {
      expect(computeAnsweredShare(second)).toBeGreaterThanOrEqual(minRecoveredShare);
    }
  },
  runTimeoutMs,
);

/** Runs the nodes at half of a site's traffic under planned faults. */
function runPlanned(site: SoakSite, durationMs: number, faults: readonly TimedFault[]) {
  return runNodeSoak({
    site,
    seed: 1,
    durationMs,
    faults,
    scale: 0.5,
    leadMs: 6000,
    repository: process.cwd(),
    onEvent: () => undefined,
  });
}

/** The primary of a group leaves, and goes on serving for the rest of the run. */
const releasePrimary = (group: number, atMs: number): TimedFault => {
  const release = { group, isPrimaryOnly: true, gapMs: 0, lingerMs: 20_000 } as const;
  return { atMs, fault: { type: "backend", command: { type: "replaceTargets", ...release } } };
};

// The lease of killed holders, for the change of another group, kept primaries that had left in use (DRAIN).
test(
  "real nodes send nothing to a primary that has left while the holders of the lease are killed",
  async () => {
    const holders = { type: "killHolders", forMs: 14_000, downMs: 6000 } as const;
    const report = await runPlanned(defaultSite, 16_000, [
      { atMs: 900, fault: holders },
      releasePrimary(0, 1000),
      releasePrimary(1, 2500),
      releasePrimary(2, 2600),
    ]);
    expect(report).toMatchObject({ breaches: [], unexpectedEnds: 0 });
  },
  runTimeoutMs,
);

const loseAnswers: TimedFault = {
  atMs: 2900,
  fault: { type: "backend", command: { type: "loseStoreAnswers", count: 60 } },
};

// A promotion that took effect without an answer in time was not noticed, and its group refused for good.
test.each([
  { name: "whose answer was lost", promoteMs: 300, others: [loseAnswers] },
  { name: "that takes longer than its order may", promoteMs: 1700, others: [] },
])(
  "real nodes serve a group after a promotion $name",
  async ({ promoteMs, others }) => {
    const command = { type: "crashPrimary", group: 0, forMs: 20_000 } as const;
    const site = { ...defaultSite, promoteMs, promoteAnswerMs: promoteMs };
    const crash: TimedFault = { atMs: 3000, fault: { type: "backend", command } };
    const report = await runPlanned(site, 15_000, [...others, crash]);
    expect(report).toMatchObject({ breaches: [], unexpectedEnds: 0 });
    for (const second of report.served.seconds.slice(-lastSeconds)) {
      expect(computeAnsweredShare(second)).toBeGreaterThanOrEqual(minServedShare);
    }
  },
  runTimeoutMs,
);

test("equal seeds plan equal faults", () => {
  const plan = () => planFaults(4, defaultSite, 60_000, ["kill", "crash", "storeCut"], 6);
  expect(plan()).toEqual(plan());
});

// The checker itself: each line is a promise of the pages that a run would have broken.
test("writes that were lost, kept after a refusal or kept twice are reported", () => {
  const told = [
    { id: "1", told: "kept" },
    { id: "2", told: "kept" },
    { id: "3", told: "notKept" },
    { id: "4", told: "unknown" },
    { id: "5", told: "kept" },
    { id: "6", told: "kept" },
  ] as const;
  const kept = ["1", "3", "4", "5", "5"];
  expect(listBreaches(told, { kept, rolledBack: ["6"] })).toEqual([
    "write 2 was acknowledged and is lost",
    "write 3 was refused and took effect",
    "write 5 took effect 2 times",
  ]);
});

// With sync-replicas no promotion may roll back what was acknowledged.
test("an acknowledged write that a promotion rolled back is reported where replicas acknowledge", () => {
  const told = [{ id: "1", told: "kept" }] as const;
  const writes = { kept: [], rolledBack: ["1"] };
  expect(listBreaches(told, writes)).toEqual([]);
  expect(listBreaches(told, writes, 1)).toEqual(["write 1 was acknowledged and is lost"]);
});

test("acknowledged writes that a superseded primary committed are reported, unless their node was disturbed", () => {
  const told = [
    { id: "1", told: "kept" },
    { id: "2", told: "kept" },
    { id: "3", told: "unknown" },
  ] as const;
  const breaches = listSupersededBreaches({
    writes: told.map(({ id }) => ({ id, member: "i-0-0", at: 5 })),
    told,
    findNodes: (id) => (id === "2" ? ["frozen"] : ["node-0"]),
    isUndisturbed: (node) => node !== "frozen",
  });
  expect(breaches).toEqual([
    "write 1 was acknowledged and committed at i-0-0, which had been superseded",
  ]);
});

const crashGroup: TimedFault = {
  atMs: 5000,
  fault: { type: "backend", command: { type: "crashPrimary", group: 0, forMs: 6000 } },
};

// What these faults showed in the review and the users' report: LOST, ONE, and nodes that stopped following the store.
test.each([
  { type: "crashAllButDeaf", syncReplicas: 1, others: [] },
  { type: "isolatePrimary", syncReplicas: 0, others: [] },
  { type: "writeOddObjects", syncReplicas: 0, others: [crashGroup] },
] as const)(
  "real nodes keep their promises through $type",
  async ({ type, syncReplicas, others }) => {
    const command = { type, group: 0, forMs: 6000 } as const;
    const fault: TimedFault = { atMs: 3000, fault: { type: "backend", command } };
    const report = await runPlanned({ ...defaultSite, syncReplicas }, 20_000, [fault, ...others]);
    expect(report).toMatchObject({ breaches: [], unexpectedEnds: 0 });
    for (const second of report.served.seconds.slice(-lastSeconds)) {
      expect(computeAnsweredShare(second)).toBeGreaterThanOrEqual(minServedShare);
    }
  },
  runTimeoutMs,
);

test("operations beyond a team's rate are not owed, and refused ones within it are counted", () => {
  const common = {
    kind: "reserve",
    zone: "a",
    region: "region",
    team: "cello",
    atMs: 10,
    reason: "",
    worth: 1,
    lateWorth: 0.3,
  };
  const { total } = summariseServed([
    { ...common, isOwed: true, outcome: "served" },
    { ...common, isOwed: true, outcome: "refused" },
    { ...common, isOwed: false, outcome: "refused" },
  ]);
  expect(total).toMatchObject({ asked: 2, answered: 1, inTime: 1 });
});
