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

/** Begins the acknowledgement of a write committed at time 10, in a group whose primary is t1. */
function begin(mode: Acknowledgement, targets = 3, safeguards = allAcknowledgeSafeguards) {
  const names = Array.from({ length: targets }, (_, i) => `t${i + 1}`);
  const write: PendingWrite = { primary: "t1", term: first, mark, mode, committedAt: 10 };
  const begun = beginAcknowledgement(write, names, safeguards);
  if (begun.type === "failed") throw new Error(begun.failure);
  return begun;
}

/** Applies a status answer of a target that is fenced at `fencedAt` and has `offset` records. */
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

test("a replicated write waits until a replica has it and then for the primary", () => {
  const { state } = begin("replicated");
  const early = hear(state, "t2", 12, { offset: 4 });
  const held = hear(early.state, "t2", 9);
  expect(held.effects).toEqual([{ type: "ask", targets: ["t1", "t3"] }]);
  expect(hear(held.state, "t1", 9).state.outcome).toBe("waiting");
  expect(hear(held.state, "t1", 10).state.outcome).toBe("confirmed");
});

// Guards against acknowledging a write on a primary that has been replaced. t1 replies to the
// commit, then t1 and t3 are fenced at term 2, and t2, which is not fenced, reports that it has the
// write. If the reply to the commit counted as t1's confirmation, t1 and t2 would form a majority.
test.each([true, false])(
  "a fence between the commit and the replica's answer, freshness check %s",
  (freshness) => {
    const { state } = begin("replicated", 3, { ...allAcknowledgeSafeguards, freshness });
    const held = hear(state, "t2", 12).state;
    const outcome = hear(held, "t1", 14, { fencedAt: second }).state.outcome;
    expect(outcome).toBe(freshness ? "superseded" : "confirmed");
  },
);

// Guards against acknowledging a write that the new primary never had. t1 commits on the minority
// side of a partition. t2 and t3 answered before the commit, when they were not yet fenced at term
// 2. Without the freshness check these old answers count as confirmations.
test.each([true, false])("answers requested before the commit, freshness check %s", (freshness) => {
  const { state } = begin("witnessed", 3, { ...allAcknowledgeSafeguards, freshness });
  const stale = hear(state, "t2", 8, { offset: 2 }).state;
  expect(hear(stale, "t1", 11).state.outcome).toBe(freshness ? "waiting" : "confirmed");
});

// Guards against acknowledging a write on a primary that is partitioned from all other targets.
// Only t1 itself answers, and it does not know of the new term.
test.each([true, false])("only the primary confirms, majority required %s", (confirmMajority) => {
  const { state } = begin("witnessed", 3, { ...allAcknowledgeSafeguards, confirmMajority });
  expect(hear(state, "t1", 11).state.outcome).toBe(confirmMajority ? "waiting" : "confirmed");
});

test("a witnessed write needs answers of a majority with the primary, in any order", () => {
  const { state, effects } = begin("witnessed");
  expect(effects).toEqual([{ type: "ask", targets: ["t1", "t2", "t3"] }]);
  const others = hear(hear(state, "t2", 11, { offset: 0 }).state, "t3", 11, { offset: 0 }).state;
  expect(others.outcome).toBe("waiting");
  expect(hear(others, "t1", 11).state.outcome).toBe("confirmed");
});

// With five targets, the first replica that has the write may be fenced while the second one
// catches up. So the primary and one more target must answer a request sent after the last needed
// replica reported the write.
test("with five targets a replica that had the write early is asked again", () => {
  const { state } = begin("replicated", 5);
  const held = hear(hear(state, "t2", 11).state, "t3", 900);
  expect(held.effects).toEqual([{ type: "ask", targets: ["t1", "t2", "t4", "t5"] }]);
  const primary = hear(held.state, "t1", 901).state;
  expect(primary.outcome).toBe("waiting");
  expect(hear(primary, "t2", 901).state.outcome).toBe("confirmed");
});

test("a write is superseded once the primary or a majority is fenced past its term", () => {
  const { state } = begin("replicated");
  expect(hear(state, "t1", 11, { fencedAt: second }).state.outcome).toBe("superseded");
  const one = hear(state, "t2", 11, { fencedAt: second }).state;
  expect(one.outcome).toBe("waiting");
  expect(hear(one, "t3", 11, { fencedAt: second }).state.outcome).toBe("superseded");
});

test("a write whose mark has another term is rejected", () => {
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
