import { expect, test } from "@jest/globals";
import { orderByLoad, type LoadCandidate } from "../../src/gateway/load-choice.js";
import { decideByLoad, type ClosedLevel } from "../../src/gateway/load-refusal.js";

interface Fields extends Partial<LoadCandidate> {
  readonly waitMs?: number;
  readonly lowestLevel?: number;
}

/** A gateway of rank 0; without a wait it has not reported. */
function make(vm: string, { waitMs, lowestLevel, ...fields }: Fields = {}): LoadCandidate {
  const closed = lowestLevel === undefined ? {} : { lowestLevel };
  const load = waitMs === undefined ? undefined : { waitMs, at: 0, ...closed };
  const rest = { rank: 0, distanceMs: 0, isAvoided: false, isLocal: false };
  return { vm, ...rest, load, ...fields };
}

const order = (
  candidates: readonly LoadCandidate[],
  { level = 1, draw = 0, isProbeDue = false } = {},
): string =>
  orderByLoad(
    candidates,
    level,
    () => draw,
    () => isProbeDue,
  )
    .map(({ vm }) => vm)
    .join("");

test("a gateway of equal rank with a shorter wait goes first, if the difference counts", () => {
  expect(order([make("a", { waitMs: 50 }), make("b", { waitMs: 5 })])).toBe("ba");
  expect(order([make("a", { waitMs: 14 }), make("b", { waitMs: 5 })])).toBe("ab");
  expect(order([make("a", { waitMs: 50 }), make("b", { waitMs: 5, rank: 1 })])).toBe("ab");
});

test("the distance counts as waiting", () => {
  const far = make("b", { waitMs: 5, distanceMs: 60 });
  expect(order([make("a", { waitMs: 60 }), far])).toBe("ab");
  expect(order([make("a", { waitMs: 80 }), far])).toBe("ba");
});

// Guards against nodes with the same reports that move everything to one gateway at once.
test("a statement moves with the probability of the relative difference", () => {
  const candidates = [make("a", { waitMs: 40 }), make("b", { waitMs: 30 })];
  expect(order(candidates, { draw: 0.24 })).toBe("ba");
  expect(order(candidates, { draw: 0.25 })).toBe("ab");
});

// Guards against gateways of an earlier build, or lost ones, that are used differently than before.
test("without reports the order stays, whatever is drawn", () => {
  const none = [make("a"), make("b"), make("c", { rank: 1 })];
  expect(order(none)).toBe("abc");
  expect(order([make("a", { waitMs: 500 }), make("b")])).toBe("ab");
  expect(order([make("a"), make("b", { waitMs: 0 })])).toBe("ab");
});

test("a gateway of equal rank without a report gets a probe while the first is loaded", () => {
  const probe = { isProbeDue: true };
  expect(order([make("a", { waitMs: 50 }), make("b")], probe)).toBe("ba");
  expect(order([make("a", { waitMs: 9 }), make("b")], probe)).toBe("ab");
  expect(order([make("a", { waitMs: 50 }), make("b", { rank: 1 })], probe)).toBe("ab");
});

// Guards against refusals by the first gateway while another one would admit the statement.
test("gateways that refuse the level follow those that may admit it, and avoided ones are last", () => {
  const closed = make("a", { waitMs: 5, lowestLevel: 0 });
  expect(order([closed, make("b", { waitMs: 5 }), make("c")])).toBe("bca");
  expect(order([closed, make("b")], { level: 0 })).toBe("ab");
  expect(order([closed, make("b", { isAvoided: true })])).toBe("ab");
});

const verdict = (
  candidates: readonly LoadCandidate[],
  level: number | undefined = 2,
  mostImportant: number | undefined = 0,
) => decideByLoad(candidates, { level, mostImportant }, undefined, 0, () => 0).type;

const closedA = make("a", { waitMs: 80, lowestLevel: 1 });
const closedB = make("b", { waitMs: 30, lowestLevel: 0 });

// Guards against a refusal while any of the statement's gateways would admit it.
test("a statement is refused only when all its gateways report that they refuse its level", () => {
  expect(verdict([closedA, closedB])).toBe("refuse");
  expect(verdict([closedA, closedB], 1)).toBe("send");
  expect(verdict([closedA, closedB, make("c")])).toBe("send");
  expect(verdict([closedA, make("c", { waitMs: 900 })])).toBe("send");
  expect(verdict([closedA, make("c", { isLocal: true })])).toBe("send");
  expect(verdict([])).toBe("send");
});

test("a gateway that failed recently does not keep a statement from being refused", () => {
  expect(verdict([closedA, make("c", { isAvoided: true })])).toBe("refuse");
  expect(verdict([make("c", { isAvoided: true })])).toBe("send");
});

// Guards against a report, also a wrong one, by which the most important statements are refused.
test("the most important level and statements without one are never refused", () => {
  const all = [make("a", { waitMs: 500, lowestLevel: 0 })];
  expect(verdict(all, 0)).toBe("send");
  expect(verdict([make("a", { waitMs: 500, lowestLevel: 0 })], 3, 3)).toBe("send");
  const decide = (level: number | undefined, mostImportant: number | undefined) =>
    decideByLoad(all, { level, mostImportant }, undefined, 0, () => 0).type;
  expect(decide(undefined, 0)).toBe("send");
  expect(decide(2, undefined)).toBe("send");
});

// Guards against a level that stays closed as no answer tells that it is open again.
test("one statement of ten of a closed level is sent, and one each 100 ms", () => {
  let closed: ClosedLevel | undefined;
  const next = (now: number) => {
    const query = { level: 2, mostImportant: 0 };
    const result = decideByLoad([closedA], query, closed, now, () => 0);
    if (result.type !== "send") closed = result.closed;
    return result.type;
  };
  const verdicts = Array.from({ length: 20 }, () => next(0));
  expect(verdicts.filter((type) => type === "probe")).toHaveLength(2);
  expect(verdicts[9]).toBe("probe");
  expect([next(50), next(100), next(101)]).toEqual(["refuse", "probe", "refuse"]);
});

test("the hint is the shortest reported wait, spread by a factor of 1 to 2, and at least 50 ms", () => {
  const getHint = (candidates: readonly LoadCandidate[], drawn: number) => {
    const query = { level: 2, mostImportant: 0 };
    const result = decideByLoad(candidates, query, undefined, 0, () => drawn);
    return result.type === "refuse" ? result.retryAfterMs : undefined;
  };
  expect(getHint([closedA], 0)).toBe(80);
  expect(getHint([closedA], 0.5)).toBe(120);
  expect(getHint([closedA, closedB], 0)).toBe(50);
});

// All near gateways refuse the level under a burst. If its statements went to the other region instead, all of them
// would cross the narrow link between the regions.
test("statements of a closed level stay in their region", () => {
  const near = make("a", { waitMs: 5, lowestLevel: 0 });
  const far = make("b", { waitMs: 5, distanceMs: 60, rank: 1 });
  expect(order([near, far])).toBe("ab");
  expect(order([near, far, make("c", { waitMs: 5 })])).toBe("cab");
});
