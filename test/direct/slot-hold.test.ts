import { expect, test } from "@jest/globals";
import {
  applyAdmission,
  createAdmission,
  summariseQueue,
  type Admission,
  type AdmissionEvent,
} from "../../src/controller/admission/index.js";
import { SlotHold } from "../../src/direct/slot-hold.js";

// Without it a slot that a transaction keeps while its caller is idle looks like one that the target keeps.
test("the time that a slot was held for is divided between connecting, commands and the rest", () => {
  const hold = new SlotHold(1000);
  hold.noteConnection(1012);
  hold.addCommand(30, true);
  hold.addCommand(20, false);
  expect(hold.describe(1400)).toEqual({
    heldMs: 400,
    connectMs: 12,
    commandMs: 50,
    commands: 2,
    busyAnswers: 1,
  });
});

// A refusal behind few statements whose slot is held for long differs from one behind a long queue only by this.
test("the queue before some targets counts what waits and runs there", () => {
  const arrive = (id: string, at: number): AdmissionEvent => ({
    type: "arrive",
    at,
    request: {
      id,
      team: "t",
      plan: "paying",
      priority: "normal",
      candidates: ["a"],
      deadlineAt: 5000,
      maxQueueMs: 1000,
    },
  });
  const resize: AdmissionEvent = { type: "resize", at: 0, target: "a", role: "replica", slots: 1 };
  const events = [resize, arrive("1", 10), arrive("2", 20), arrive("3", 30)];
  const admission = events.reduce<Admission>((state, event) => {
    const applied = applyAdmission(state, event);
    return applied.type === "applied" ? applied.state : state;
  }, createAdmission());
  expect(summariseQueue(admission, ["a"], 110)).toMatchObject({
    waiting: 2,
    running: 1,
    heldMs: 100,
  });
  expect(summariseQueue(admission, ["b"], 110)).toMatchObject({ waiting: 0, running: 0 });
});
