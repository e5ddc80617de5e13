import { expect, test } from "@jest/globals";
import {
  applyAdmission,
  createAdmission,
  previewRequest,
  type Admission,
} from "../../src/controller/admission/index.js";
import type { CandidateTarget, PrimaryState } from "../../src/direct/index.js";
import {
  chooseReportTargets,
  computeFigures,
  listStatementKinds,
  makeKindRequest,
  maxReportedWaitMs,
  type StatementKind,
} from "../../src/gateway/load-figures.js";
import { makeDatabase } from "../direct/fixture.js";

const makeKind = (level: number | undefined, fields: Partial<StatementKind> = {}) => ({
  level,
  priority: "normal" as const,
  objectiveMs: 300,
  deadlineMs: 800,
  maxQueueMs: 400,
  usesReplicas: true,
  ...fields,
});

/** The figures of three levels, of which those in `open` are admitted. */
const figuresWith = (open: readonly number[], waitMs = 30) =>
  computeFigures(
    [0, 1, 2].map((level) => makeKind(level)),
    ({ level = 0 }) => ({
      waitMs: waitMs + level * 100,
      isAdmitted: open.includes(level),
    }),
  );

const serving: PrimaryState = { type: "serving", target: "p" };
const healthy = { failures: 0, avoidUntil: 0, laggingUntil: 0, saturatedUntil: 0 };

const makeTarget = (name: string, fields: Partial<CandidateTarget> = {}): CandidateTarget => ({
  name,
  isLeaving: false,
  isLocal: false,
  health: healthy,
  running: 1,
  hasIdle: true,
  slots: 4,
  occupiedSlots: 4,
  ...fields,
});

test("the figures are the wait of the most important level and the least important open one", () => {
  expect(figuresWith([0, 1])).toEqual({ waitMs: 30, lowestLevel: 1 });
  expect(figuresWith([0, 1, 2])).toEqual({ waitMs: 30 });
});

// Guards against a report by which a node would refuse the most important level.
test("the most important level is never reported as closed", () => {
  expect(figuresWith([])).toEqual({ waitMs: 30, lowestLevel: 0 });
});

// Guards against a level that is refused at the entry node while its gateway admits it, as levels above it
// have tighter limits.
test("a level between open ones is not reported as closed", () => {
  expect(figuresWith([0, 2])).toEqual({ waitMs: 30 });
});

test("an unknown wait is reported as the longest, and without levels all is open", () => {
  expect(figuresWith([0, 1, 2], Infinity)).toEqual({ waitMs: maxReportedWaitMs });
  const kinds = [makeKind(undefined), makeKind(undefined, { priority: "critical" })];
  const preview = ({ priority }: StatementKind) => ({
    waitMs: priority === "critical" ? 7 : 90,
    isAdmitted: false,
  });
  expect(computeFigures(kinds, preview)).toEqual({ waitMs: 7 });
  expect(computeFigures([], preview)).toBeUndefined();
});

// Guards against a wait estimate for each of hundreds of databases with the same limits.
test("databases with the same limits are one kind of statement", () => {
  const databases = new Map(
    ["a", "b", "c"].map((name) => [name, makeDatabase(name, { type: "primary" })]),
  );
  expect(listStatementKinds({ databases }, "ledger")).toHaveLength(1);
  expect(listStatementKinds({ databases }, "other")).toEqual([]);
});

// Guards against a report of the replicas' load that closes a level for statements that need the primary, and
// the reverse.
test("each role is reported by its own targets", () => {
  const candidates = [makeTarget("p"), makeTarget("r1"), makeTarget("r2")];
  const choose = (role: "primary" | "replica") => chooseReportTargets(role, serving, candidates, 0);
  expect(choose("primary")).toEqual({ type: "targets", names: ["p"] });
  expect(choose("replica")).toEqual({ type: "targets", names: ["r1", "r2"] });
});

// Guards against reads that are refused by the queue of replicas while they need the primary, or may use it.
test("reads that use the primary are not closed by the replicas' queue", () => {
  const lagging = { health: { ...healthy, laggingUntil: 10 } };
  const behind = [makeTarget("p"), makeTarget("r1", lagging)];
  expect(chooseReportTargets("replica", serving, behind, 5)).toEqual({ type: "unknown" });
  expect(chooseReportTargets("replica", serving, behind, 10).type).toBe("targets");
  const idle = [makeTarget("p", { isLocal: true, running: 0, occupiedSlots: 0 }), makeTarget("r1")];
  expect(chooseReportTargets("replica", serving, idle, 0)).toEqual({
    type: "targets",
    names: ["r1", "p"],
  });
});

test("nothing is said of a primary that is being changed, leaves or has no slots", () => {
  const changing: PrimaryState = { type: "changing", readyInMs: 10, reason: "x" };
  const isUnknown = (primary: PrimaryState, fields: Partial<CandidateTarget>) =>
    chooseReportTargets("primary", primary, [makeTarget("p", fields)], 0).type === "unknown";
  expect(isUnknown(changing, {})).toBe(true);
  expect(isUnknown(serving, { isLeaving: true })).toBe(true);
  expect(isUnknown(serving, { slots: 0 })).toBe(true);
  expect(isUnknown(serving, {})).toBe(false);
});

// Guards against statements that all move to a gateway whose queue is empty only because its targets don't answer:
// it refuses statements before they wait.
test("targets that have not answered are not reported as free", () => {
  const avoided = { health: { ...healthy, failures: 1, avoidUntil: 10 }, occupiedSlots: 0 };
  const probed = { health: { ...healthy, failures: 2 }, occupiedSlots: 1 };
  for (const fields of [avoided, probed]) {
    const choose = (role: "primary" | "replica", names: readonly string[]) => {
      const candidates = names.map((name) => makeTarget(name, name === "r2" ? {} : fields));
      return chooseReportTargets(role, serving, candidates, 5);
    };
    expect(choose("primary", ["p", "r1"])).toEqual({ type: "unknown" });
    expect(choose("replica", ["p", "r1"])).toEqual({ type: "unknown" });
    expect(choose("replica", ["p", "r1", "r2"])).toEqual({ type: "targets", names: ["r2"] });
  }
});

// Guards against a level that is reported as closed while a team without waiting statements gets a slot in time:
// the flood of one team must not refuse the statements of others at their entry nodes.
test("a queue that one team has filled is open for the others", () => {
  let admission: Admission = createAdmission();
  const apply = (event: Parameters<typeof applyAdmission>[1]) => {
    const result = applyAdmission(admission, event);
    if (result.type === "failed") throw new Error(result.failure);
    admission = result.state;
    return result.effects;
  };
  apply({ type: "resize", at: 0, target: "p", role: "primary", slots: 1 });
  const kind = makeKind(1, { maxQueueMs: 50 });
  const request = { ...makeKindRequest(kind, ["p"], 0), team: "flood" };
  let refusals = 0;
  for (let i = 0; i < 100; i += 1) {
    const effects = apply({ type: "arrive", at: 0, request: { ...request, id: `${i}` } });
    refusals += effects.filter(({ type }) => type === "refuse").length;
  }
  expect(refusals).toBeGreaterThan(0);
  const preview = (k: StatementKind) => previewRequest(admission, makeKindRequest(k, ["p"], 0), 0);
  expect(preview(kind).isAdmitted).toBe(true);
  expect(preview(makeKind(2, { maxQueueMs: 5 })).isAdmitted).toBe(false);
});
