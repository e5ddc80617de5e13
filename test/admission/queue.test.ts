import { expect, test } from "@jest/globals";
import { AdmissionHarness, strictPriority } from "./builders.js";

// A flood of trial requests from one team fills the queue, then another trial team sends ten. In
// order of arrival those would wait for the whole flood. With fair queuing between teams they are
// started within twenty starts.
test("a team's flood does not delay the other teams of its class", () => {
  const harness = new AdmissionHarness();
  for (let i = 0; i < 200; i++) harness.arrive(`flood${i}`, { team: "flood", priority: "trial" });
  for (let i = 0; i < 10; i++) harness.arrive(`few${i}`, { team: "few", priority: "trial" });
  const order = harness.serve(22);
  expect(order.filter((id) => id.startsWith("few"))).toHaveLength(10);
});

// A team sends its next statement as soon as the previous one has started, beside a flood of
// another team. If its use of slots were forgotten whenever it has no waiting request, it would
// always be served first. Its start tag is kept while it is ahead, so both teams get half of the
// starts.
test("a team that returns at once does not jump the queue", () => {
  const harness = new AdmissionHarness(strictPriority);
  for (let i = 0; i < 100; i++) harness.arrive(`flood${i}`, { team: "z" });
  harness.arrive("quick0", { team: "a" });
  let sent = 0;
  const order = harness.serve(40, (id) => {
    if (id.startsWith("quick")) harness.arrive(`quick${++sent}`, { team: "a" });
  });
  const quick = order.filter((id) => id.startsWith("quick")).length;
  expect(quick).toBeGreaterThanOrEqual(18);
  expect(quick).toBeLessThanOrEqual(22);
});

// Critical requests alone can take every slot. Trial requests would then only be refused, and trial
// callers would never see an answer. The guaranteed share gives them one start in a hundred.
test("the guaranteed share keeps trial requests from starving", () => {
  const harness = new AdmissionHarness({
    guaranteedShare: { critical: 1, normal: 0, browsing: 0, trial: 0.01 },
  });
  harness.arrive("trial0", { priority: "critical" });
  for (let i = 1; i < 6; i++) harness.arrive(`trial${i}`, { priority: "trial", team: "t" });
  for (let i = 0; i < 400; i++) harness.arrive(`write${i}`, { priority: "critical" });
  const order = harness.serve(310);
  expect(order.filter((id) => id.startsWith("trial"))).toHaveLength(3);
});

// Browsing requests flood the primary, and trial requests may wait for 300 ms. If their wait were
// estimated behind the whole flood, all of them would be refused and never use their guaranteed
// share. It is estimated from that share, and they get one start in twenty.
test("trial requests are admitted to their guaranteed share beside a flood", () => {
  const harness = new AdmissionHarness();
  harness.arrive("first");
  harness.arrive("browse0", { priority: "browsing", team: "b" });
  let sent = 0;
  const order = harness.serve(1000, () => {
    const asked = { priority: "browsing", maxQueueMs: 300, team: "b" } as const;
    for (let i = 0; i < 3; i++) harness.arrive(`browse${++sent}`, asked);
    harness.arrive(`trial${sent}`, { priority: "trial", maxQueueMs: 300, team: "t" });
    harness.apply({ type: "tick", at: harness.at });
  });
  expect(order).toHaveLength(1000);
  const trial = order.filter((id) => id.startsWith("trial")).length;
  expect(trial).toBeGreaterThanOrEqual(40);
  expect(trial).toBeLessThanOrEqual(55);
});

// A request would wait longer than its rule allows. It is refused in the same step, with a retry
// time, and not only when its time is up. Requests refused together get different retry times, so
// that they do not return together.
test("a request that would wait too long is refused at once, with a retry time", () => {
  const harness = new AdmissionHarness();
  for (let i = 0; i < 6; i++) harness.arrive(`q${i}`, { maxQueueMs: 50 });
  expect(harness.effects).toEqual([{ type: "start", id: "q0", target: "p" }]);
  const [first] = harness.arrive("late1", { maxQueueMs: 50, team: "cello" });
  const [second] = harness.arrive("late2", { maxQueueMs: 50, team: "cello" });
  expect(first).toMatchObject({ type: "refuse", reason: "queueFull", retryAfterMs: 10 });
  expect(second).toMatchObject({ type: "refuse", reason: "queueFull", retryAfterMs: 15 });
  const [short] = harness.arrive("short", { deadlineAt: 30 });
  expect(short).toMatchObject({ type: "refuse", reason: "deadline" });
  expect(harness.count()).toBe(5);
});

// The caller of a running statement gives up while the target still works on it. If its slot
// counted as free, the target would get more statements than it has slots.
test("an abandoned statement keeps its slot until it has finished", () => {
  const harness = new AdmissionHarness();
  harness.arrive("gone");
  harness.arrive("next");
  expect(harness.apply({ type: "cancel", at: 1, id: "gone" })).toEqual([]);
  expect(harness.finish("gone")).toEqual([{ type: "start", id: "next", target: "p" }]);
});

// A report holds the only slot for 300 times the usual service time, and nobody knows when it will
// end. If it counted as about to end, callers would wait until their deadlines; if it counted as
// never ending, all of them would be refused. It is expected to last as long again, and the retry
// times follow from that.
test("a stalled statement is expected to last as long again", () => {
  const harness = new AdmissionHarness();
  harness.arrive("report");
  harness.at = 1500;
  expect(harness.arrive("patient", { maxQueueMs: 2000 })).toEqual([]);
  expect(harness.arrive("hasty", { maxQueueMs: 1000 })).toMatchObject([
    { type: "refuse", reason: "queueFull", retryAfterMs: 500 },
  ]);
  expect(harness.apply({ type: "tick", at: 3000 })).toMatchObject([{ id: "patient" }]);
});

// Trial requests have filled the queue when a critical write arrives. If a full queue refused every
// arrival, the write would be lost; the newest trial request is refused instead.
test("a full queue refuses its least important request for a more important one", () => {
  const harness = new AdmissionHarness({ maxWaiting: 3 });
  harness.arrive("running");
  for (let i = 0; i < 3; i++) harness.arrive(`trial${i}`, { priority: "trial", team: "t" });
  expect(harness.arrive("write", { priority: "critical" })).toMatchObject([
    { type: "refuse", id: "trial2", reason: "queueFull" },
  ]);
  expect(harness.arrive("trial3", { priority: "trial", team: "t" })).toMatchObject([
    { type: "refuse", id: "trial3" },
  ]);
  expect(harness.count()).toBe(3);
});

// A browsing request is admitted with a short wait, then many more important requests arrive. It is
// refused at the next tick instead of at its deadline.
test("a request whose wait has become too long is refused at the next tick", () => {
  const harness = new AdmissionHarness(strictPriority);
  harness.arrive("running");
  harness.arrive("browse", { priority: "browsing", maxQueueMs: 100 });
  for (let i = 0; i < 40; i++) harness.arrive(`write${i}`, { priority: "critical" });
  expect(harness.apply({ type: "tick", at: 1 })).toMatchObject([
    { type: "refuse", id: "browse", reason: "queueFull" },
  ]);
});

// The primary is lost. While it is unknown when there will be a new one, writes are refused at the
// next tick. When the owner expects one within a given time, requests whose rule allows that wait
// stay.
test("writes wait for a lost primary only if a new one is expected in time", () => {
  const harness = new AdmissionHarness();
  harness.arrive("running");
  harness.arrive("patient", { maxQueueMs: 500 });
  harness.arrive("hasty", { maxQueueMs: 100 });
  const lost = { type: "resize", at: 1, target: "p", role: "primary", slots: 0 } as const;
  harness.apply({ ...lost, backInMs: 300 });
  expect(harness.apply({ type: "tick", at: 2 })).toMatchObject([{ id: "hasty" }]);
  harness.apply(lost);
  expect(harness.apply({ type: "tick", at: 3 })).toMatchObject([
    { id: "patient", reason: "noPrimary", retryAfterMs: 1000 },
  ]);
});

test("a waiting request moves to its new candidates", () => {
  const harness = new AdmissionHarness();
  harness.apply({ type: "resize", at: 0, target: "r", role: "replica", slots: 1 });
  harness.arrive("a");
  harness.arrive("b");
  expect(harness.apply({ type: "retarget", at: 1, id: "b", candidates: ["r"] })).toEqual([
    { type: "start", id: "b", target: "r" },
  ]);
});
