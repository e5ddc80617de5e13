import { expect, test } from "@jest/globals";
import {
  type AcknowledgementState,
  allAcknowledgeSafeguards,
  applyStatusAnswer,
  beginAcknowledgement,
  type PendingWrite,
} from "../../src/controller/acknowledge/index.js";
import type { Acknowledgement, TargetStatus, Term } from "../../src/model/index.js";

const first: Term = { round: 1, vm: "a" };
const second: Term = { round: 2, vm: "b" };
const mark = { term: first, offset: 5 };
const lineage = [{ term: first, start: 0 }];

/** A write that was committed at 10, of a group whose primary is t1. */
function begin(mode: Acknowledgement, targets = 3, safeguards = allAcknowledgeSafeguards) {
  const names = Array.from({ length: targets }, (_, i) => `t${i + 1}`);
  const write: PendingWrite = { primary: "t1", term: first, mark, mode, committedAt: 10 };
  const begun = beginAcknowledgement(write, names, safeguards);
  if (begun.type === "failed") throw new Error(begun.failure);
  return begun;
}

/** An answer of a target, fenced at `fencedAt`, that holds `offset` records. */
function hear(
  state: AcknowledgementState,
  target: string,
  askedAt: number,
  { offset = 5, fencedAt = first }: { offset?: number; fencedAt?: Term } = {},
) {
  const role = target === "t1" ? "primary" : "replica";
  const status: TargetStatus = {
    target,
    role,
    mark: { term: first, offset },
    lineage,
    fencedAt,
  };
  const heard = applyStatusAnswer(state, { status, askedAt, answeredAt: askedAt + 1 });
  if (heard.type === "failed") throw new Error(heard.failure);
  return heard;
}

test("a replicated write waits for a replica to hold it and then for the primary", () => {
  const { state } = begin("replicated");
  const early = hear(state, "t2", 12, { offset: 4 });
  const held = hear(early.state, "t2", 9);
  expect(held.effects).toEqual([{ type: "ask", targets: ["t1", "t3"] }]);
  expect(hear(held.state, "t1", 9).state.outcome).toBe("waiting");
  expect(hear(held.state, "t1", 10).state.outcome).toBe("confirmed");
});

// The caller is told that its write is kept by a primary that had been replaced by then.
// Commit's reply from t1; t1 and t3 fenced at term 2; t2, not fenced, tells that it holds the write.
// If the commit's reply counted as t1's confirmation, the two would pass for a majority.
test.each([true, false])(
  "a fence between commit and replica's answer, freshness %s",
  (freshness) => {
    const { state } = begin("replicated", 3, { ...allAcknowledgeSafeguards, freshness });
    const held = hear(state, "t2", 12).state;
    const outcome = hear(held, "t1", 14, { fencedAt: second }).state.outcome;
    expect(outcome).toBe(freshness ? "superseded" : "confirmed");
  },
);

// The caller is told that its write is kept, and the new primary never had it.
// t1 commits on the minority side; t2 and t3, fenced at term 2 since, had answered unfenced before.
// Without freshness the old answers pass for confirmations.
test.each([true, false])("answers asked for before the commit, freshness %s", (freshness) => {
  const { state } = begin("witnessed", 3, { ...allAcknowledgeSafeguards, freshness });
  const stale = hear(state, "t2", 8, { offset: 2 }).state;
  expect(hear(stale, "t1", 11).state.outcome).toBe(freshness ? "waiting" : "confirmed");
});

// The caller is told that its write is kept by a primary that is cut off from all others.
// Only t1 itself answers, and nobody has told it of the new term.
test.each([true, false])("the primary alone confirms, majority %s", (confirmMajority) => {
  const { state } = begin("witnessed", 3, { ...allAcknowledgeSafeguards, confirmMajority });
  expect(hear(state, "t1", 11).state.outcome).toBe(confirmMajority ? "waiting" : "confirmed");
});

test("a witnessed write needs a majority, the primary in it, in any order", () => {
  const { state, effects } = begin("witnessed");
  expect(effects).toEqual([{ type: "ask", targets: ["t1", "t2", "t3"] }]);
  const others = hear(hear(state, "t2", 11, { offset: 0 }).state, "t3", 11, { offset: 0 }).state;
  expect(others.outcome).toBe("waiting");
  expect(hear(others, "t1", 11).state.outcome).toBe("confirmed");
});

// With five targets the first replica may have been fenced while the second one caught up.
// So the primary and one more must answer afresh after the last that was needed to hold the write.
test("with five targets an early holder is asked again", () => {
  const { state } = begin("replicated", 5);
  const held = hear(hear(state, "t2", 11).state, "t3", 900);
  expect(held.effects).toEqual([{ type: "ask", targets: ["t1", "t2", "t4", "t5"] }]);
  const primary = hear(held.state, "t1", 901).state;
  expect(primary.outcome).toBe("waiting");
  expect(hear(primary, "t2", 901).state.outcome).toBe("confirmed");
});

test("a write is given up once the primary or a majority is past its term", () => {
  const { state } = begin("replicated");
  expect(hear(state, "t1", 11, { fencedAt: second }).state.outcome).toBe("superseded");
  const one = hear(state, "t2", 11, { fencedAt: second }).state;
  expect(one.outcome).toBe("waiting");
  expect(hear(one, "t3", 11, { fencedAt: second }).state.outcome).toBe("superseded");
});

test("a mark of another term proves nothing", () => {
  const write: PendingWrite = {
    primary: "t1",
    term: second,
    mark,
    mode: "replicated",
    committedAt: 10,
  };
  const begun = beginAcknowledgement(write, ["t1", "t2", "t3"], allAcknowledgeSafeguards);
  expect(begun.type).toBe("failed");
});
