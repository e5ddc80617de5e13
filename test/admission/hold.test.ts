import { expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  applyAdmission,
  countFreeSlots,
  countWaitingForConnection,
  createAdmission,
  listResuming,
  type AdmissionEvent,
} from "../../src/controller/admission/index.js";
import { AdmissionHarness, request } from "./builders.js";

// Guards against statements that are kept out by transactions which are idle between statements.
test("requests that hold only a connection leave their slots to new work", () => {
  const harness = new AdmissionHarness({}, 2);
  harness.resize({ slots: 2, connections: 8 });
  for (const id of ["t1", "t2"]) harness.arrive(id);
  harness.arrive("a1");
  expect(harness.apply({ type: "pause", at: 1, id: "t1" })).toEqual([
    { type: "start", id: "a1", target: "p" },
  ]);
  harness.apply({ type: "pause", at: 1, id: "t2" });
  expect(countFreeSlots(harness.admission, "p")).toBe(1);
});

// Guards against a next statement that waits behind new work while its transaction holds a connection.
test("the next statement of a transaction goes before all waiting requests", () => {
  const harness = new AdmissionHarness({}, 2);
  for (const id of ["t1", "x"]) harness.arrive(id);
  harness.apply({ type: "pause", at: 1, id: "t1" });
  harness.arrive("y");
  for (let i = 0; i < 5; i += 1) harness.arrive(`a${i}`);
  harness.apply({ type: "resume", at: 2, id: "t1", deadlineAt: 1000 });
  expect(harness.finish("x")).toEqual([{ type: "start", id: "t1", target: "p" }]);
});

// Guards against autocommit statements that starve behind the statements of transactions.
test.each([1, 4])("transactions leave a start to new work that waits, at %i slots", (slots) => {
  const harness = new AdmissionHarness({}, slots);
  const transactions = Array.from({ length: 2 * slots }, (_, i) => `t${i}`);
  for (const id of transactions) {
    harness.arrive(id);
    harness.apply({ type: "pause", at: 0, id });
  }
  harness.arrive("first");
  for (const id of transactions) {
    harness.apply({ type: "resume", at: 0, id, deadlineAt: 1e6 });
  }
  for (let i = 0; i < 100; i += 1) harness.arrive(`a${i}`);
  const starts = { new: 0, resumed: 0 };
  const running = harness.effects.flatMap((e) => (e.type === "start" ? [e.id] : []));
  const order = [...new Set(running)].filter((id) => harness.isRunning(id));
  for (let i = 0; i < 80; i += 1) {
    const id = order.shift();
    if (id === undefined) throw new Error("a slot is unused while requests wait");
    harness.at += 1;
    const isTransaction = id.startsWith("t");
    const effects = isTransaction
      ? harness.apply({ type: "pause", at: harness.at, id })
      : harness.finish(id, 0);
    if (isTransaction) harness.apply({ type: "resume", at: harness.at, id, deadlineAt: 1e6 });
    for (const effect of effects) {
      if (effect.type !== "start") continue;
      order.push(effect.id);
      starts[effect.id.startsWith("t") ? "resumed" : "new"] += 1;
    }
  }
  expect(starts.new).toBeGreaterThanOrEqual(80 / (2 * slots));
  expect(starts.resumed).toBeGreaterThanOrEqual(starts.new);
});

// Guards against a deadlock: slots held by requests that wait for connections, and these held by transactions
// that wait for slots.
test("new work starts only if a connection is left for it", () => {
  const harness = new AdmissionHarness({}, 2);
  harness.resize({ slots: 2, connections: 3 });
  for (const id of ["t1", "t2", "t3"]) {
    harness.arrive(id);
    harness.apply({ type: "pause", at: 0, id });
  }
  expect(harness.arrive("a")).toEqual([]);
  expect(countWaitingForConnection(harness.admission, "p")).toBe(1);
  expect(harness.apply({ type: "resume", at: 0, id: "t1", deadlineAt: 100 })).toEqual([
    { type: "start", id: "t1", target: "p" },
  ]);
  expect(harness.apply({ type: "finish", at: 1, id: "t2" })).toEqual([
    { type: "start", id: "a", target: "p" },
  ]);
});

// Guards against slot time of a level's transactions that counts for the class of its priority.
test("the statements of a transaction count in the class of its level", () => {
  const harness = new AdmissionHarness({}, 2);
  harness.arrive("t", { level: 3, priority: "normal" });
  harness.apply({ type: "pause", at: 0, id: "t" });
  harness.apply({ type: "resume", at: 0, id: "t", deadlineAt: 100 });
  harness.finish("t", 10);
  expect(harness.admission.targets.p?.usageMs).toMatchObject({ "level 3": 10, normal: 0 });
});

// Guards against transactions that are ended for background work which could not use their connections.
test("background work beyond the slots that it may use waits for no connection", () => {
  const harness = new AdmissionHarness({}, 2);
  harness.resize({ slots: 2, connections: 3 });
  for (const id of ["t1", "t2"]) {
    harness.arrive(id);
    harness.apply({ type: "pause", at: 0, id });
  }
  harness.arrive("b1", { priority: "browsing" });
  harness.arrive("b2", { priority: "browsing" });
  expect(countWaitingForConnection(harness.admission, "p")).toBe(0);
  harness.arrive("a");
  expect(countWaitingForConnection(harness.admission, "p")).toBe(1);
});

// Guards against a wait beyond the deadline, and against a slot for a request that was withdrawn.
test("a held request is refused at its deadline and forgotten when it is cancelled", () => {
  const harness = new AdmissionHarness({}, 1);
  for (const id of ["t1", "t2"]) {
    harness.arrive(id);
    harness.apply({ type: "pause", at: 0, id });
  }
  harness.arrive("x");
  harness.apply({ type: "resume", at: 0, id: "t1", deadlineAt: 50 });
  harness.apply({ type: "resume", at: 0, id: "t2", deadlineAt: 500 });
  harness.apply({ type: "cancel", at: 10, id: "t2" });
  expect(harness.apply({ type: "tick", at: 50 })).toMatchObject([{ type: "refuse", id: "t1" }]);
  harness.at = 60;
  expect(harness.finish("x")).toEqual([]);
  expect(countFreeSlots(harness.admission, "p")).toBe(1);
});

// Guards against open transactions that can never commit at a target which leaves.
test("a target without slots runs the statements of open transactions one at a time", () => {
  const harness = new AdmissionHarness({}, 2);
  for (const id of ["t1", "t2"]) {
    harness.arrive(id);
    harness.apply({ type: "pause", at: 0, id });
  }
  harness.resize({ slots: 0 });
  expect(harness.apply({ type: "resume", at: 1, id: "t1", deadlineAt: 99 })).toHaveLength(1);
  expect(harness.apply({ type: "resume", at: 1, id: "t2", deadlineAt: 99 })).toHaveLength(0);
  expect(harness.finish("t1")).toEqual([{ type: "start", id: "t2", target: "p" }]);
});

const kinds = ["arrive", "finish", "pause", "resume", "cancel", "tick"] as const;

// Guards against slots or connections that are counted twice or lost, in any order of events.
test("slots and connections are counted right under any order of events", () => {
  const steps = fc.array(fc.tuple(fc.constantFrom(...kinds), fc.nat(9)), { maxLength: 200 });
  fc.assert(
    fc.property(steps, (events) => {
      const [slots, connections] = [2, 4];
      let admission = createAdmission();
      const apply = (event: AdmissionEvent) => {
        const result = applyAdmission(admission, event);
        if (result.type === "applied") admission = result.state;
      };
      apply({ type: "resize", at: 0, target: "p", role: "primary", slots, connections });
      events.forEach(([type, number], at) => {
        const id = `r${number}`;
        if (type === "arrive") apply({ type, at, request: request(id) });
        else if (type === "resume") apply({ type, at, id, deadlineAt: at + 20 });
        else if (type === "tick") apply({ type, at });
        else apply({ type, at, id });
        const target = admission.targets.p;
        if (target === undefined) throw new Error("the target is unknown");
        const free = target.slots - target.running;
        const isConnectionLeft = target.running + target.held < connections;
        const waiting = Object.keys(admission.waiting ?? {}).length > 0;
        expect(target.running).toBeLessThanOrEqual(slots);
        expect(target.running).toBeGreaterThanOrEqual(target.runningResumed);
        expect(target.running + target.held).toBeLessThanOrEqual(connections);
        expect(Math.min(target.held, target.runningResumed)).toBeGreaterThanOrEqual(0);
        if (free > 0) expect(listResuming(admission, "p")).toEqual([]);
        if (free > 0 && isConnectionLeft) expect(waiting).toBe(false);
      });
    }),
    { seed: 7 },
  );
});
