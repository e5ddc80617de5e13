import { expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  applyAdmission,
  createAdmission,
  type AdmissionEvent,
  type AdmissionRequest,
} from "../../src/controller/admission/index.js";
import { priorities } from "../../src/model/index.js";
import {
  countEntries,
  getEntry,
  listValues,
  putEntry,
  removeEntry,
  type Tree,
} from "../../src/controller/admission/tree.js";
import { request, strictPriority } from "./builders.js";

const names = ["p", "r1", "r2"];
const sets = fc.subarray(names, { minLength: 1 });
const requests = fc.record({
  team: fc.constantFrom("a", "b", "c"),
  priority: fc.constantFrom(...priorities),
  candidates: sets,
  maxQueueMs: fc.constantFrom(0, 30, 1000),
  deadlineAt: fc.constantFrom(40, 300, 1e6),
});
const steps = fc.array(
  fc.oneof(
    { weight: 8, arbitrary: fc.record({ type: fc.constant("arrive" as const), rest: requests }) },
    { weight: 4, arbitrary: fc.record({ type: fc.constant("finish" as const), pick: fc.nat(99) }) },
    fc.record({ type: fc.constant("cancel" as const), pick: fc.nat(99) }),
    fc.record({ type: fc.constant("retarget" as const), pick: fc.nat(99), candidates: sets }),
    fc.record({
      type: fc.constant("resize" as const),
      target: fc.constantFrom(...names),
      slots: fc.nat(3),
    }),
    fc.record({ type: fc.constant("tick" as const) }),
  ),
  { minLength: 20, maxLength: 80, size: "max" },
);

const isBackground = ({ priority }: AdmissionRequest) =>
  priority === "trial" || priority === "browsing";

/** A reference model of the rules, on lists that are searched in full. */
class Reference {
  readonly waiting = new Map<string, AdmissionRequest>();
  readonly running = new Map<string, { readonly target: string; readonly isBackground: boolean }>();
  readonly slots = new Map(names.map((name) => [name, 0]));

  canServe(asked: AdmissionRequest, target: string): boolean {
    const slots = this.slots.get(target) ?? 0;
    const there = [...this.running.values()].filter((r) => r.target === target);
    const background = there.filter((r) => r.isBackground).length;
    const isBarred = isBackground(asked) && target === "p" && slots >= 2 && background >= slots - 1;
    return asked.candidates.includes(target) && there.length < slots && !isBarred;
  }

  /** Checks a start or a refusal against the rules, then notes it. */
  note(effect: { type: "start" | "refuse"; id: string; target?: string }) {
    const asked = this.waiting.get(effect.id);
    if (asked === undefined) throw new Error(`request ${effect.id} was answered twice`);
    if (effect.type === "start") {
      const target = effect.target ?? "";
      expect(this.canServe(asked, target)).toBe(true);
      const better = [...this.waiting.values()].filter(
        (w) => priorities.indexOf(w.priority) < priorities.indexOf(asked.priority),
      );
      expect(better.filter((w) => this.canServe(w, target))).toEqual([]);
      this.running.set(effect.id, { target, isBackground: isBackground(asked) });
    }
    this.waiting.delete(effect.id);
  }

  isIdleBesideWork(): boolean {
    return [...this.waiting.values()].some((w) => names.some((t) => this.canServe(w, t)));
  }
}

test("random events keep the slot limits, the order of classes and one answer for each request", () => {
  fc.assert(
    fc.property(steps, (sequence) => {
      const reference = new Reference();
      let state = createAdmission(strictPriority);
      const opening = names.map((target) => ({ type: "resize" as const, target, slots: 2 }));
      [...opening, ...sequence].forEach((step, at) => {
        const pool = step.type === "finish" ? reference.running : reference.waiting;
        const all =
          step.type === "cancel" ? [...pool.keys(), ...reference.running.keys()] : [...pool.keys()];
        const id = "pick" in step ? (all[step.pick % all.length] ?? "") : `q${at}`;
        const event = toEvent(step, id, at * 3);
        const result = applyAdmission(state, event);
        if (result.type === "failed") {
          expect(result.failure).toBe("unknownRequest");
          expect(id).toBe("");
          return;
        }
        if (event.type === "arrive") reference.waiting.set(id, event.request);
        if (event.type === "finish") reference.running.delete(id);
        if (event.type === "cancel") reference.waiting.delete(id);
        if (event.type === "resize") reference.slots.set(event.target, event.slots);
        const moved = reference.waiting.get(id);
        if (event.type === "retarget" && moved !== undefined) {
          reference.waiting.set(id, { ...moved, candidates: event.candidates });
        }
        result.effects.forEach((effect) => reference.note(effect));
        state = result.state;
        expect([...listValues(state.waiting)].map((w) => w.id).sort()).toEqual(
          [...reference.waiting.keys()].sort(),
        );
        expect(reference.isIdleBesideWork()).toBe(false);
      });
    }),
    { seed: 5, numRuns: 500 },
  );
});

type Step = (typeof steps extends fc.Arbitrary<(infer S)[]> ? S : never) & object;

function toEvent(step: Step, id: string, at: number): AdmissionEvent {
  switch (step.type) {
    case "arrive":
      return { type: "arrive", at, request: request(id, step.rest) };
    case "resize":
      return { ...step, at, role: step.target === "p" ? "primary" : "replica" };
    case "finish":
    case "cancel":
      return { type: step.type, at, id };
    case "retarget":
      return { type: "retarget", at, id, candidates: step.candidates };
    case "tick":
      return { type: "tick", at };
  }
}

test("the tree holds the same entries as a map, in order and balanced", () => {
  fc.assert(
    fc.property(fc.array(fc.tuple(fc.boolean(), fc.nat(40))), (changes) => {
      const map = new Map<number, number>();
      let tree: Tree<number, number>;
      changes.forEach(([isPut, key], i) => {
        tree = isPut ? putEntry(tree, key, i) : removeEntry(tree, key);
        if (isPut) map.set(key, i);
        else map.delete(key);
        expect(getEntry(tree, key)).toBe(map.get(key));
      });
      const inOrder = [...map].sort(([a], [b]) => a - b).map(([, value]) => value);
      expect([...listValues(tree)]).toEqual(inOrder);
      expect(countEntries(tree)).toBe(map.size);
      expect(tree?.height ?? 0).toBeLessThanOrEqual(1.45 * Math.log2(map.size + 2));
    }),
    { seed: 6 },
  );
});
