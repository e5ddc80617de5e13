import { expect, test } from "@jest/globals";
import { AdmissionHarness, strictPriority } from "./builders.js";

// A trial flood of one team fills the queue; another trial team sends ten statements after it.
// Served in order of arrival they would wait for all of the flood.
// Teams take turns instead, so that they are through within twenty starts.
test("a team's flood does not delay the other teams of its class", () => {
  const bench = new AdmissionHarness();
  for (let i = 0; i < 200; i++) bench.arrive(`flood${i}`, { team: "flood", priority: "trial" });
  for (let i = 0; i < 10; i++) bench.arrive(`few${i}`, { team: "few", priority: "trial" });
  const order = bench.serve(22);
  expect(order.filter((id) => id.startsWith("few"))).toHaveLength(10);
});

// A team sends its next statement as soon as the last has started, beside a waiting flood.
// Were its use of slots forgotten whenever nothing of it waits, it would always be first.
// Its tag is kept while it is ahead, so that both get half.
test("coming back at once is no way to the head of the line", () => {
  const bench = new AdmissionHarness(strictPriority);
  for (let i = 0; i < 100; i++) bench.arrive(`flood${i}`, { team: "z" });
  bench.arrive("quick0", { team: "a" });
  let sent = 0;
  const order = bench.serve(40, (id) => {
    if (id.startsWith("quick")) bench.arrive(`quick${++sent}`, { team: "a" });
  });
  const quick = order.filter((id) => id.startsWith("quick")).length;
  expect(quick).toBeGreaterThanOrEqual(18);
  expect(quick).toBeLessThanOrEqual(22);
});

// Critical work alone would take every slot for as long as it lasts.
// Trial callers would then see nothing but refusals, and a trial that never runs is none.
// The guaranteed share gives them one start in a hundred.
test("the guaranteed share keeps trial work from starving", () => {
  const bench = new AdmissionHarness({
    guaranteedShare: { critical: 1, normal: 0, browsing: 0, trial: 0.01 },
  });
  bench.arrive("trial0", { priority: "critical" });
  for (let i = 1; i < 6; i++) bench.arrive(`trial${i}`, { priority: "trial", team: "t" });
  for (let i = 0; i < 400; i++) bench.arrive(`write${i}`, { priority: "critical" });
  const order = bench.serve(310);
  expect(order.filter((id) => id.startsWith("trial"))).toHaveLength(3);
});

// Browsing floods the primary, and trial callers may wait for a third of a second.
// Behind the whole flood they would wait for longer: refused for that they would never use the share
// that they are guaranteed. Their wait is foreseen by that share, and one start in twenty is theirs.
test("trial work is admitted to its guaranteed share beside a flood", () => {
  const bench = new AdmissionHarness();
  bench.arrive("first");
  bench.arrive("browse0", { priority: "browsing", team: "b" });
  let sent = 0;
  const order = bench.serve(1000, () => {
    const asked = { priority: "browsing", maxQueueMs: 300, team: "b" } as const;
    for (let i = 0; i < 3; i++) bench.arrive(`browse${++sent}`, asked);
    bench.arrive(`trial${sent}`, { priority: "trial", maxQueueMs: 300, team: "t" });
    bench.apply({ type: "tick", at: bench.at });
  });
  expect(order).toHaveLength(1000);
  const trial = order.filter((id) => id.startsWith("trial")).length;
  expect(trial).toBeGreaterThanOrEqual(40);
  expect(trial).toBeLessThanOrEqual(55);
});

// A caller's statement would wait longer than its rule allows.
// It hears so in the same step, with a time to come back, and not when its patience has run out.
// Those refused together are told different times, so that they do not return together.
test("who would wait too long is refused at once, and told when to come back", () => {
  const bench = new AdmissionHarness();
  for (let i = 0; i < 6; i++) bench.arrive(`q${i}`, { maxQueueMs: 50 });
  expect(bench.effects).toEqual([{ type: "start", id: "q0", target: "p" }]);
  const [first] = bench.arrive("late1", { maxQueueMs: 50, team: "cello" });
  const [second] = bench.arrive("late2", { maxQueueMs: 50, team: "cello" });
  expect(first).toMatchObject({ type: "refuse", reason: "queueFull", retryAfterMs: 10 });
  expect(second).toMatchObject({ type: "refuse", reason: "queueFull", retryAfterMs: 15 });
  const [short] = bench.arrive("short", { deadlineAt: 30 });
  expect(short).toMatchObject({ type: "refuse", reason: "deadline" });
  expect(bench.count()).toBe(5);
});

// The caller of a running statement gives up; the target still works on it.
// Counting its slot as free would put more statements on the target than it bears.
test("an abandoned statement keeps its slot until it has finished", () => {
  const bench = new AdmissionHarness();
  bench.arrive("gone");
  bench.arrive("next");
  expect(bench.apply({ type: "cancel", at: 1, id: "gone" })).toEqual([]);
  expect(bench.finish("gone")).toEqual([{ type: "start", id: "next", target: "p" }]);
});

// A report holds the only slot for 300 times the usual time; nobody knows when it will end.
// Counted as about to end it would let callers wait to their deadlines; counted as never ending it
// would turn all of them away. It is expected to last as long again, and callers are told by that.
test("a statement that lasts is expected to last as long again", () => {
  const bench = new AdmissionHarness();
  bench.arrive("report");
  bench.at = 1500;
  expect(bench.arrive("patient", { maxQueueMs: 2000 })).toEqual([]);
  expect(bench.arrive("hasty", { maxQueueMs: 1000 })).toMatchObject([
    { type: "refuse", reason: "queueFull", retryAfterMs: 500 },
  ]);
  expect(bench.apply({ type: "tick", at: 3000 })).toMatchObject([{ id: "patient" }]);
});

// Trial requests have filled the queue when a reservation arrives.
// Refusing whoever comes last would turn it away; the last trial request goes instead.
test("a full queue gives up its least important request for a more important one", () => {
  const bench = new AdmissionHarness({ maxWaiting: 3 });
  bench.arrive("running");
  for (let i = 0; i < 3; i++) bench.arrive(`trial${i}`, { priority: "trial", team: "t" });
  expect(bench.arrive("write", { priority: "critical" })).toMatchObject([
    { type: "refuse", id: "trial2", reason: "queueFull" },
  ]);
  expect(bench.arrive("trial3", { priority: "trial", team: "t" })).toMatchObject([
    { type: "refuse", id: "trial3" },
  ]);
  expect(bench.count()).toBe(3);
});

// Browsing was admitted with a short wait; then more important work arrived and kept arriving.
// Held, it would hear of it at its deadline. The next tick tells it.
test("a wait that has grown too long ends with the next tick", () => {
  const bench = new AdmissionHarness(strictPriority);
  bench.arrive("running");
  bench.arrive("browse", { priority: "browsing", maxQueueMs: 100 });
  for (let i = 0; i < 40; i++) bench.arrive(`write${i}`, { priority: "critical" });
  expect(bench.apply({ type: "tick", at: 1 })).toMatchObject([
    { type: "refuse", id: "browse", reason: "queueFull" },
  ]);
});

// The primary is lost. Nobody knows when there will be another one: writes are told at once.
// When the owner expects it back in a while, those whose rule allows the wait stay.
test("writes wait for a lost primary only if it is expected back in time", () => {
  const bench = new AdmissionHarness();
  bench.arrive("running");
  bench.arrive("patient", { maxQueueMs: 500 });
  bench.arrive("hasty", { maxQueueMs: 100 });
  const lost = { type: "resize", at: 1, target: "p", role: "primary", slots: 0 } as const;
  bench.apply({ ...lost, backInMs: 300 });
  expect(bench.apply({ type: "tick", at: 2 })).toMatchObject([{ id: "hasty" }]);
  bench.apply(lost);
  expect(bench.apply({ type: "tick", at: 3 })).toMatchObject([
    { id: "patient", reason: "noPrimary", retryAfterMs: 1000 },
  ]);
});

test("a waiting request moves to the targets it is given", () => {
  const bench = new AdmissionHarness();
  bench.apply({ type: "resize", at: 0, target: "r", role: "replica", slots: 1 });
  bench.arrive("a");
  bench.arrive("b");
  expect(bench.apply({ type: "retarget", at: 1, id: "b", candidates: ["r"] })).toEqual([
    { type: "start", id: "b", target: "r" },
  ]);
});
