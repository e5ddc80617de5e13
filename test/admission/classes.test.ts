import { createHash } from "node:crypto";
import { expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  applyAdmission,
  createAdmission,
  type AdmissionEvent,
} from "../../src/controller/admission/index.js";
import { priorities } from "../../src/model/index.js";
import { request } from "./builders.js";

const names = ["p", "r1", "r2"];
const sets = fc.subarray(names, { minLength: 1 });
const arrivals = fc.record({
  type: fc.constant("arrive" as const),
  rest: fc.record({
    team: fc.constantFrom("a", "b", "c"),
    priority: fc.constantFrom(...priorities),
    candidates: sets,
    maxQueueMs: fc.constantFrom(0, 30, 100, 1000),
    deadlineAt: fc.constantFrom(150, 500, 1e6),
  }),
});
const finishes = fc.record({ type: fc.constant("finish" as const), pick: fc.nat(99) });
const resizes = fc.record({
  type: fc.constant("resize" as const),
  target: fc.constantFrom(...names),
  slots: fc.nat(3),
});
const sequences = fc.array(
  fc.oneof(
    { weight: 12, arbitrary: arrivals },
    { weight: 6, arbitrary: finishes },
    resizes,
    fc.record({ type: fc.constant("tick" as const) }),
  ),
  { minLength: 60, maxLength: 160, size: "max" },
);
type Step = (typeof sequences extends fc.Arbitrary<(infer S)[]> ? S : never) & object;

/** The digest of all starts and refusals of these sequences before levels existed. */
const expectedDigest = "edc009b9fc26aa0918162713829a7e4bdfc03fd534c92131a4cc01acca2cd296";

test("without levels every start and refusal is the one of the four fixed classes", () => {
  const digest = createHash("sha256");
  const counts = { start: 0, refuse: 0 };
  for (const sequence of fc.sample(sequences, { seed: 12, numRuns: 200 })) {
    let state = createAdmission();
    const running: string[] = [];
    const opening = names.map((target) => ({ type: "resize" as const, target, slots: 2 }));
    [...opening, ...sequence].forEach((step, i) => {
      const event = toEvent(step, i, running);
      if (event === undefined) return;
      const result = applyAdmission(state, event);
      if (result.type === "failed") throw new Error(result.failure);
      state = result.state;
      for (const effect of result.effects) {
        counts[effect.type] += 1;
        if (effect.type === "start") running.push(effect.id);
        digest.update(JSON.stringify(effect));
      }
    });
  }
  expect(counts.start).toBeGreaterThan(4000);
  expect(counts.refuse).toBeGreaterThan(1000);
  expect(digest.digest("hex")).toBe(expectedDigest);
});

function toEvent(step: Step, index: number, running: string[]): AdmissionEvent | undefined {
  const at = index * 3;
  switch (step.type) {
    case "arrive":
      return { type: "arrive", at, request: request(`q${index}`, step.rest) };
    case "resize":
      return { ...step, at, role: step.target === "p" ? "primary" : "replica" };
    case "finish": {
      const [id] = running.splice(step.pick % Math.max(1, running.length), 1);
      return id === undefined ? undefined : { type: "finish", at, id };
    }
    case "tick":
      return { type: "tick", at };
  }
}
