import { expect, test } from "@jest/globals";
import { checkOwnRead, checkStored, Ledger, type WriteOutcome } from "../../standin/soak/ledger.js";
import { describeFault, planRound } from "../../standin/soak/plan.js";
import { Trace } from "../../standin/soak/trace.js";

function makeBooking(
  outcome: WriteOutcome,
  counts: { confirmed?: number; uncertain?: number } = {},
) {
  const base = { id: "b1", session: "s1", group: "g", table: "t", transactionId: "b1" };
  return { ...base, outcome, confirmed: 0, uncertain: 0, ...counts };
}

const row = { id: "b1", confirmed: 0 };

// The checks decide about the product, so each is shown what it must object to.
test.each([
  ["an answered write that is lost", makeBooking("landed"), [], 1],
  ["an answered write that is there twice", makeBooking("landed"), [row, row], 1],
  ["a write of unknown fate that is there twice", makeBooking("unknown"), [row, row], 1],
  ["a write that was not run and is there", makeBooking("absent"), [row], 1],
  ["a confirmation that is lost", makeBooking("landed", { confirmed: 1 }), [row], 1],
  ["a confirmation that ran and was not to", makeBooking("landed"), [{ ...row, confirmed: 1 }], 1],
  ["an answered write that is there", makeBooking("landed"), [row], 0],
  ["a write of unknown fate that is not there", makeBooking("unknown"), [], 0],
  [
    "a confirmation that may have run",
    makeBooking("landed", { uncertain: 1 }),
    [{ ...row, confirmed: 1 }],
    0,
  ],
])("%s", (_, booking, stored, breaches) => {
  expect(checkStored([booking], stored)).toHaveLength(breaches);
});

test("a transaction that is there in part is found", () => {
  const first = { ...makeBooking("unknown"), transactionId: "u1" };
  const second = { ...first, id: "b2" };
  expect(checkStored([first, second], [row])).toEqual([
    { description: "transaction u1 is there in part", subjects: ["u1"] },
  ]);
});

test("a read that misses its session's write, or shows one that was not run, is found", () => {
  const isAbsent = (id: string) => id === "b2";
  const known = [{ id: "b1", confirmed: 1 }];
  const seen = { id: "b1", confirmed: 1 };
  expect(checkOwnRead(known, isAbsent, [seen])).toEqual([]);
  expect(checkOwnRead(known, isAbsent, [])).toHaveLength(1);
  expect(checkOwnRead(known, isAbsent, [row])).toHaveLength(1);
  expect(checkOwnRead(known, isAbsent, [seen, { id: "b2", confirmed: 0 }])).toHaveLength(1);
});

test("a seed draws the same plan each time, and every sort of fault in some round", () => {
  const sizes = { groups: 1, targets: 3, vms: 3 };
  const draw = () => Array.from({ length: 100 }, (_, round) => planRound(7, round, sizes));
  expect(draw()).toEqual(draw());
  const types = draw().flatMap((plan) => plan.faults.map((f) => f.fault.type));
  expect(new Set(types).size).toBe(15);
  expect(describeFault({ type: "cutPeer", vm: 1, way: "back" })).toBe("cutPeer vm=1 way=back");
});

test("a trace lists faults, and statements about an id with what the caller heard", () => {
  const trace = new Trace();
  trace.record("s1", "asks: INSERT b1");
  trace.record("s2", "asks: SELECT");
  trace.record("fault", "begins");
  trace.record("s1", "hears INSERT");
  expect(trace.list(["b1"]).map(({ text: what }) => what)).toEqual([
    "asks: INSERT b1",
    "begins",
    "hears INSERT",
  ]);
});

test("a ledger counts fates and finds rows by id", () => {
  const ledger = new Ledger();
  ledger.add({ id: "b1", session: "s1", group: "g", table: "t", transactionId: "b1" }).outcome =
    "landed";
  expect(ledger.count()).toEqual({ landed: 1, absent: 0, unknown: 0 });
  expect(ledger.find("b1")?.outcome).toBe("landed");
  expect(ledger.list("g", "t")).toHaveLength(1);
});
