import { expect, test } from "@jest/globals";
import fc from "fast-check";
import type { AdmissionRequest } from "../../src/controller/admission/index.js";
import { AdmissionHarness, strictPriority } from "./builders.js";

/** A request of a level whose objective ends this many milliseconds after its arrival. */
const arriveWith = (
  harness: AdmissionHarness,
  id: string,
  level: number,
  objectiveMs: number,
  rest: Partial<AdmissionRequest> = {},
) => harness.arrive(id, { level, objectiveAt: harness.at + objectiveMs, ...rest });

const countOf = (order: readonly string[], prefix: string) =>
  order.filter((id) => id.startsWith(prefix)).length;

// Guards against statements of 150 ms that wait behind statements of 1 s which arrived earlier.
test("within a level the objective that ends first is served first", () => {
  const harness = new AdmissionHarness();
  arriveWith(harness, "running", 1, 1000);
  for (let i = 0; i < 30; i++) arriveWith(harness, `long${i}`, 1, 1000);
  for (let i = 0; i < 3; i++) arriveWith(harness, `short${i}`, 1, 150);
  expect(harness.serve(4)).toEqual(["short0", "short1", "short2", "long0"]);
});

// Guards against a statement that has missed its objective and takes a slot before one that can still meet it.
test("a statement that can only be late follows those that can still meet their objectives", () => {
  const harness = new AdmissionHarness();
  arriveWith(harness, "running", 1, 1000);
  arriveWith(harness, "late", 1, 6);
  harness.at = 10;
  arriveWith(harness, "later", 1, 5);
  for (let i = 0; i < 3; i++) arriveWith(harness, `good${i}`, 1, 400);
  expect(harness.serve(5)).toEqual(["good0", "good1", "good2", "late", "later"]);
});

// Guards against level 0 waiting among the statements of level 1, in whatever order the operator numbers them.
test("levels are served in the order of their numbers, however many there are", () => {
  const harness = new AdmissionHarness(strictPriority);
  arriveWith(harness, "running", 0, 1000);
  for (const level of [40, 7, 1, 0, 1000, 3]) arriveWith(harness, `l${level}`, level, 500);
  expect(harness.serve(6)).toEqual(["l0", "l1", "l3", "l7", "l40", "l1000"]);
});

// Guards against a burst of unimportant reads that delays level 0, and against these reads starving.
test("a burst of unimportant reads gets its guaranteed share and no more while level 0 waits", () => {
  const harness = new AdmissionHarness();
  arriveWith(harness, "running", 0, 150);
  let sent = 0;
  for (let i = 0; i < 400; i++) arriveWith(harness, `browse${i}`, 2, 1000);
  for (let i = 0; i < 40; i++) arriveWith(harness, `own${i}`, 1, 250);
  for (let i = 0; i < 5; i++) arriveWith(harness, `primary${sent++}`, 0, 150);
  const order = harness.serve(400, (id) => {
    if (id.startsWith("primary")) arriveWith(harness, `primary${sent++}`, 0, 150);
  });
  expect(countOf(order, "own")).toBeGreaterThanOrEqual(30);
  expect(countOf(order, "browse")).toBeGreaterThanOrEqual(16);
  expect(countOf(order, "browse")).toBeLessThanOrEqual(24);
  expect(countOf(order, "primary")).toBeGreaterThanOrEqual(330);
});

// Guards against one team's flood of short objectives that delays the other teams of its level.
test("a team with a flood leaves the other teams of its level their turns", () => {
  const harness = new AdmissionHarness();
  arriveWith(harness, "running", 1, 1000, { team: "flood" });
  for (let i = 0; i < 200; i++) arriveWith(harness, `flood${i}`, 1, 100, { team: "flood" });
  for (let i = 0; i < 5; i++) {
    for (const team of ["a", "b"]) arriveWith(harness, `few-${team}${i}`, 1, 1000, { team });
  }
  expect(countOf(harness.serve(16), "few")).toBe(10);
});

// Guards against a team that is served out of turn because its objectives are shorter than those of others.
test("the order by objective holds within a team's turn", () => {
  const harness = new AdmissionHarness();
  arriveWith(harness, "running", 1, 1000, { team: "a" });
  for (let i = 0; i < 4; i++) arriveWith(harness, `a${i}`, 1, 900 - i, { team: "a" });
  for (let i = 0; i < 4; i++) arriveWith(harness, `b${i}`, 1, 200 - i, { team: "b" });
  const order = harness.serve(8);
  expect(order.filter((id) => id.startsWith("a"))).toEqual(["a3", "a2", "a1", "a0"]);
  expect(order.filter((id) => id.startsWith("b"))).toEqual(["b3", "b2", "b1", "b0"]);
  expect(countOf(order.slice(0, 4), "a")).toBe(2);
});

// Guards against reads with a staleness bound that take every slot of a primary because their level is high.
test("a read with a staleness bound leaves one slot of the primary free whatever its level", () => {
  const harness = new AdmissionHarness({}, 2);
  arriveWith(harness, "stale0", 0, 500, { priority: "browsing" });
  expect(arriveWith(harness, "stale1", 0, 500, { priority: "browsing" })).toEqual([]);
  expect(arriveWith(harness, "write", 5, 500)).toMatchObject([{ type: "start", id: "write" }]);
  expect(harness.finish("write")).toEqual([]);
  expect(harness.finish("stale0")).toMatchObject([{ type: "start", id: "stale1" }]);
});

// Guards against a statement that waits for its whole deadline though it could never be answered in time, and
// against callers that all come back at once.
test("a statement without a chance is refused on arrival, each with another time to come back", () => {
  const harness = new AdmissionHarness();
  arriveWith(harness, "running", 1, 100);
  for (let i = 0; i < 60; i++) arriveWith(harness, `q${i}`, 1, 100, { deadlineAt: 300 });
  const refused = harness.effects.flatMap((e) => (e.type === "refuse" ? e : []));
  expect(refused.length).toBeGreaterThan(5);
  expect(refused.every((e) => e.reason === "deadline")).toBe(true);
  expect(new Set(refused.map((e) => e.retryAfterMs)).size).toBe(refused.length);
  harness.serve(60);
  expect(harness.effects.filter((e) => e.type === "refuse")).toHaveLength(refused.length);
});

// Guards against a short objective that is refused because of longer ones that it would be served before.
test("the wait of a statement is estimated from those that are served before it", () => {
  const harness = new AdmissionHarness();
  arriveWith(harness, "running", 1, 5000);
  for (let i = 0; i < 100; i++) arriveWith(harness, `long${i}`, 1, 5000);
  expect(arriveWith(harness, "short", 1, 150, { deadlineAt: 150 })).toEqual([]);
  expect(arriveWith(harness, "last", 1, 6000, { deadlineAt: 150 })).toMatchObject([
    { type: "refuse", reason: "deadline" },
  ]);
  expect(harness.serve(1)).toEqual(["short"]);
});

// Guards against a hopeless statement in the middle of a queue that hears of it only at its deadline.
test("an accepted statement that has become hopeless is refused at the next tick", () => {
  const harness = new AdmissionHarness();
  arriveWith(harness, "running", 2, 1000);
  for (let i = 0; i < 20; i++) {
    const isMiddle = i >= 8 && i < 12;
    const deadlineAt = isMiddle ? 160 : 1e6;
    arriveWith(harness, `q${i}`, 2, 900 + i, { deadlineAt });
  }
  expect(harness.apply({ type: "tick", at: 0 })).toEqual([]);
  for (let i = 0; i < 40; i++) arriveWith(harness, `primary${i}`, 0, 900);
  const refused = harness.apply({ type: "tick", at: 5 }).map(({ id }) => id);
  expect(refused.sort()).toEqual(["q10", "q11", "q8", "q9"]);
});

// Guards against memory that grows with each level that a node has ever sent.
test("levels that are no longer used are forgotten", () => {
  const harness = new AdmissionHarness();
  harness.arrive("running");
  for (let level = 0; level < 50; level++) arriveWith(harness, `q${level}`, level, 1000);
  expect(harness.admission.order).toHaveLength(54);
  harness.serve(50);
  harness.finish("q49");
  harness.at += 60_000;
  harness.arrive("last");
  harness.finish("last");
  harness.apply({ type: "tick", at: harness.at });
  expect(harness.admission.order).toHaveLength(4);
  expect(Object.keys(harness.admission.targets.p?.usageMs ?? {})).toHaveLength(4);
});

// Guards against statements of nodes of an earlier build, without a level, that overtake level 0 or starve.
test("statements without a level have a place among those with one", () => {
  const harness = new AdmissionHarness(strictPriority);
  harness.arrive("running");
  harness.arrive("normal");
  harness.arrive("browsing", { priority: "browsing" });
  harness.arrive("critical", { priority: "critical" });
  for (const level of [3, 2, 1, 0]) arriveWith(harness, `l${level}`, level, 500);
  const order = ["l0", "critical", "l1", "l2", "normal", "l3", "browsing"];
  expect(harness.serve(7)).toEqual(order);
});

// Guards against absurd times, which a faulty node could send, that break the order or end the process.
test.each([Infinity, -Infinity, Number.NaN, -5, 1e300])(
  "an objective that ends at %s is accepted and the statement is served",
  (objectiveAt) => {
    const harness = new AdmissionHarness();
    arriveWith(harness, "running", 1, 100);
    harness.arrive("odd", { level: 1, objectiveAt });
    arriveWith(harness, "good", 1, 100);
    expect([...harness.serve(2)].sort()).toEqual(["good", "odd"]);
  },
);

interface Pending {
  readonly id: string;
  readonly level: number;
  readonly endAt: number;
  readonly at: number;
}

/** The order of one team's statements as the design states it, by a search through all of them. */
function findExpected(pending: readonly Pending[], at: number, serviceMs: number): string {
  const least = Math.min(...pending.map(({ level }) => level));
  const own = pending.filter(({ level }) => level === least);
  const inTime = own.filter(({ endAt }) => at + serviceMs <= endAt);
  if (inTime.length === 0) return own[0]?.id ?? "";
  return inTime.reduce((a, b) => (b.endAt < a.endAt ? b : a)).id;
}

const steps = fc.array(
  fc.oneof(
    { weight: 3, arbitrary: fc.record({ level: fc.nat(3), objectiveMs: fc.nat(60) }) },
    { weight: 2, arbitrary: fc.constant("finish" as const) },
  ),
  { minLength: 10, maxLength: 80, size: "max" },
);

test("random arrivals of one team start by level, then by objective, with the late ones last", () => {
  fc.assert(
    fc.property(steps, (sequence) => {
      const harness = new AdmissionHarness(strictPriority);
      let pending: Pending[] = [];
      let running: string | undefined;
      sequence.forEach((step, i) => {
        harness.at += 1;
        if (step !== "finish") {
          const id = `q${i}`;
          const endAt = harness.at + step.objectiveMs;
          const [effect] = arriveWith(harness, id, step.level, step.objectiveMs);
          if (effect === undefined) pending.push({ id, level: step.level, endAt, at: harness.at });
          else running = id;
          return;
        }
        if (running === undefined) return;
        const [effect] = harness.finish(running, 4);
        const serviceMs = harness.admission.targets.p?.serviceMs ?? 0;
        running = effect?.id;
        if (pending.length === 0) expect(effect).toBeUndefined();
        else expect(effect?.id).toBe(findExpected(pending, harness.at, serviceMs));
        pending = pending.filter(({ id }) => id !== running);
      });
    }),
    { seed: 21, numRuns: 300 },
  );
});
