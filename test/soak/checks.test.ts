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

// Each check must report the violation that it exists for, and accept correct data.
test.each([
  ["reports an acknowledged write that is not stored", makeBooking("landed"), [], 1],
  ["reports an acknowledged write that is stored twice", makeBooking("landed"), [row, row], 1],
  [
    "reports a write of unknown outcome that is stored twice",
    makeBooking("unknown"),
    [row, row],
    1,
  ],
  ["reports a write that was not run but is stored", makeBooking("absent"), [row], 1],
  ["reports a lost confirmation", makeBooking("landed", { confirmed: 1 }), [row], 1],
  [
    "reports a confirmation that was never sent",
    makeBooking("landed"),
    [{ ...row, confirmed: 1 }],
    1,
  ],
  ["accepts an acknowledged write that is stored", makeBooking("landed"), [row], 0],
  ["accepts a write of unknown outcome that is not stored", makeBooking("unknown"), [], 0],
  [
    "accepts a confirmation that may have run",
    makeBooking("landed", { uncertain: 1 }),
    [{ ...row, confirmed: 1 }],
    0,
  ],
])("%s", (_, booking, stored, breaches) => {
  expect(checkStored([booking], stored)).toHaveLength(breaches);
});

test("a partly stored transaction is reported", () => {
  const first = { ...makeBooking("unknown"), transactionId: "u1" };
  const second = { ...first, id: "b2" };
  expect(checkStored([first, second], [row])).toEqual([
    { description: "transaction u1 is stored only in part", subjects: ["u1"] },
  ]);
});

test("a read that misses a write of its session, or shows one that was not run, is reported", () => {
  const isAbsent = (id: string) => id === "b2";
  const known = [{ id: "b1", confirmed: 1 }];
  const seen = { id: "b1", confirmed: 1 };
  expect(checkOwnRead(known, isAbsent, [seen])).toEqual([]);
  expect(checkOwnRead(known, isAbsent, [])).toHaveLength(1);
  expect(checkOwnRead(known, isAbsent, [row])).toHaveLength(1);
  expect(checkOwnRead(known, isAbsent, [seen, { id: "b2", confirmed: 0 }])).toHaveLength(1);
});

test("a seed always gives the same plan, and every type of fault occurs in some round", () => {
  const sizes = { groups: 1, targets: 3, vms: 3 };
  const generatePlans = () => Array.from({ length: 100 }, (_, round) => planRound(7, round, sizes));
  expect(generatePlans()).toEqual(generatePlans());
  const types = generatePlans().flatMap((plan) => plan.faults.map((f) => f.fault.type));
  expect(new Set(types).size).toBe(15);
  expect(describeFault({ type: "cutPeer", vm: 1, way: "back" })).toBe("cutPeer vm=1 way=back");
});

test("a trace lists faults, and statements that contain an id with their outcomes", () => {
  const trace = new Trace();
  trace.record("s1", "sends: INSERT b1");
  trace.record("s2", "sends: SELECT");
  trace.record("fault", "begins");
  trace.record("s1", "receives INSERT");
  expect(trace.list(["b1"]).map(({ text }) => text)).toEqual([
    "sends: INSERT b1",
    "begins",
    "receives INSERT",
  ]);
});

test("a ledger counts outcomes and finds rows by id", () => {
  const ledger = new Ledger();
  ledger.add({ id: "b1", session: "s1", group: "g", table: "t", transactionId: "b1" }).outcome =
    "landed";
  expect(ledger.count()).toEqual({ landed: 1, absent: 0, unknown: 0 });
  expect(ledger.find("b1")?.outcome).toBe("landed");
  expect(ledger.list("g", "t")).toHaveLength(1);
});
