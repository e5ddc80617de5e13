import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { AdmissionHarness } from "./builders.js";

const seed = 47;
const countOf = (order: readonly string[], prefix: string) =>
  order.filter((id) => id.startsWith(prefix)).length;

/** A primary that serves one request at a time, before which many reads wait that no replica can serve. */
function startBurst(reads: number, level = 2): AdmissionHarness {
  const harness = new AdmissionHarness();
  harness.arrive("running", { level });
  for (let i = 0; i < reads; i++) harness.arrive(`read${i}`, { level, lacksReplica: true });
  return harness;
}

// Guards against a burst of reads that replicas lag for, which delays the writes of the same level: only the primary
// serves these.
test("writes that wait get half of the starts beside reads that lack a replica", () => {
  const harness = startBurst(100);
  for (let i = 0; i < 20; i++) harness.arrive(`write${i}`, { level: 2 });
  const order = harness.serve(40);
  expect(countOf(order, "write")).toBeGreaterThanOrEqual(19);
  // All writes have been served; the reads get the rest.
  expect(countOf(harness.serve(20), "read")).toBe(20);
});

// Guards against writes that wait although the reads belong to a team of their own.
test("the half holds between teams", () => {
  const harness = new AdmissionHarness();
  harness.arrive("running", { level: 2, team: "a" });
  for (const team of ["a", "b", "c", "d"]) {
    for (let i = 0; i < 20; i++)
      harness.arrive(`read-${team}${i}`, { level: 2, team, lacksReplica: true });
  }
  for (let i = 0; i < 10; i++) harness.arrive(`write${i}`, { level: 2, team: "a" });
  expect(countOf(harness.serve(20), "write")).toBeGreaterThanOrEqual(9);
});

// Guards against transactions that take the turns which the writes are due.
test("a statement of an open transaction does not use up the turn of a write", () => {
  const harness = new AdmissionHarness();
  harness.resize({ slots: 1, connections: 40 });
  harness.arrive("held", { level: 2 });
  harness.apply({ type: "pause", at: harness.at, id: "held" });
  for (let i = 0; i < 5; i++) harness.arrive(`read${i}`, { level: 2, lacksReplica: true });
  harness.arrive("write", { level: 2 });
  harness.apply({ type: "resume", at: harness.at, id: "held", deadlineAt: 1e6 });
  expect(harness.serve(3)).toEqual(["held", "write", "read1"]);
});

// Guards against a less important write that goes before more important reads.
test("the order of the levels is kept", () => {
  const harness = startBurst(20, 0);
  for (let i = 0; i < 20; i++) harness.arrive(`write${i}`, { level: 1 });
  expect(countOf(harness.serve(20), "write")).toBeLessThanOrEqual(3);
});

// Guards against starts of a more important level that use up the turn of the writes: each start of the less important
// level then follows one of these, and its writes would wait for all its reads.
test("the half holds for a level that gets only its guaranteed share", () => {
  const harness = startBurst(40);
  for (let i = 0; i < 20; i++) harness.arrive(`write${i}`, { level: 2 });
  for (let i = 0; i < 400; i++) harness.arrive(`urgent${i}`, { level: 0 });
  const order = harness.serve(300).filter((id) => !id.startsWith("urgent"));
  expect(order.length).toBeGreaterThanOrEqual(6);
  expect(countOf(order, "write")).toBeGreaterThanOrEqual(Math.floor(order.length / 2));
});

// Guards against a write that is refused for the wait behind reads of which it goes before all but one.
test.each([2, undefined])(
  "a write is not refused for reads that lack a replica, level %s",
  (level) => {
    const harness = new AdmissionHarness();
    const common = level === undefined ? {} : { level, objectiveAt: 400 };
    harness.arrive("running", common);
    for (let i = 0; i < 100; i++) harness.arrive(`read${i}`, { ...common, lacksReplica: true });
    expect(harness.arrive("write", { ...common, maxQueueMs: 400, deadlineAt: 800 })).toEqual([]);
    expect(harness.serve(2)).toContain("write");
    const read = harness.arrive("late", { ...common, maxQueueMs: 400, lacksReplica: true });
    expect(read).toMatchObject([{ type: "refuse", reason: "queueFull" }]);
  },
);

// Guards against a slot that stays free, and against reads that starve.
test("reads that lack a replica start whenever nothing else waits, and get the other half", () => {
  const harness = startBurst(10);
  expect(countOf(harness.serve(10), "read")).toBe(10);
  const mixed = startBurst(10);
  for (let i = 0; i < 100; i++) mixed.arrive(`write${i}`, { level: 2 });
  expect(countOf(mixed.serve(110), "read")).toBe(10);
});

// Guards against a mix of arrivals in which the writes that wait get less.
test("after a read that lacks a replica a write of its level starts, if one waits", () => {
  const arrivals = fc.array(
    fc.record({ isWrite: fc.boolean(), team: fc.constantFrom("a", "b", "c") }),
    { minLength: 1, maxLength: 60 },
  );
  fc.assert(
    fc.property(arrivals, (list) => {
      const harness = startBurst(0);
      let writes = 0;
      list.forEach(({ isWrite, team }, i) => {
        if (isWrite) writes += 1;
        const id = `${isWrite ? "write" : "read"}${i}`;
        harness.arrive(id, { level: 2, team, ...(isWrite ? {} : { lacksReplica: true }) });
      });
      const order = harness.serve(list.length);
      order.forEach((id, i) => {
        const isAfterRead = order[i - 1]?.startsWith("read") === true;
        const served = countOf(order.slice(0, i), "write");
        if (isAfterRead && served < writes) expect(id.startsWith("write")).toBe(true);
      });
      expect(order).toHaveLength(list.length);
    }),
    { seed, numRuns: 100 },
  );
});
