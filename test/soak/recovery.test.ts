import { expect, test } from "@jest/globals";
import {
  findSlowRecovery,
  measureRecovery,
  type TimedFault,
} from "../../standin/soak/nodes/index.js";

const limitMs = 12_000;
const crash: TimedFault = {
  atMs: 3000,
  fault: { type: "backend", command: { type: "crashPrimary", group: 0, forMs: 2000 } },
};
const neighbours: TimedFault = {
  atMs: 0,
  fault: { type: "busyProcessor", processes: 16, forMs: 60_000 },
};

/** The seconds of a run that asks for 100 a second and earns these shares. */
const listSeconds = (shares: readonly number[]) =>
  shares.map((share, second) => ({
    name: String(second),
    asked: 100,
    answered: 100,
    inTime: 100,
    owed: 100,
    earned: 100 * share,
  }));
const repeat = (share: number, count: number) => Array.from({ length: count }, () => share);
const measure = (after: readonly number[]) =>
  measureRecovery(listSeconds([...repeat(1, 3), 0, 0, ...after]), [neighbours, crash]);

// The share of a whole run hides an overload that outlasts its cause.
test("a run that earns less to its end after the last fault has not recovered", () => {
  const recovery = measure(repeat(0.2, 14));
  expect(recovery).toEqual({ type: "notRecovered", watchedMs: 14_000 });
  expect(findSlowRecovery(recovery, limitMs)).toMatch(/not recovered 14000 ms/);
});

test("a recovery counts from the end of the last fault to the last second that earns too little", () => {
  expect(measure([0.2, 1, 0.2, 1, 1])).toEqual({ type: "recovered", afterMs: 3000 });
  expect(measure([1, 1])).toEqual({ type: "recovered", afterMs: 0 });
  expect(findSlowRecovery(measure([0.2, 1]), limitMs)).toBeUndefined();
  expect(findSlowRecovery(measure([...repeat(0.2, 13), 1]), limitMs)).toMatch(/later than 12000/);
});

test("a run that ends before nodes must have recovered, or without faults, is not judged", () => {
  expect(findSlowRecovery(measure(repeat(0.2, 5)), limitMs)).toBeUndefined();
  expect(measureRecovery(listSeconds(repeat(1, 5)), [neighbours])).toEqual({ type: "notJudged" });
});
