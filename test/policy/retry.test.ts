import { expect, test } from "@jest/globals";
import fc from "fast-check";
import {
  canRetryKeyedWrite,
  fullRetryBudget,
  recordFirstAttempt,
  planKeyedWrite,
  planRetry,
  type FailedAttempt,
} from "../../src/policy/index.js";

const notRun = { type: "notRun", reason: "queueFull", retryAfterMs: 30 } as const;
const mayHaveRun = { type: "mayHaveRun", reason: "connection lost" } as const;
const failed: FailedAttempt = {
  verdict: notRun,
  effect: "write",
  isAnswerBegun: false,
  attempts: 1,
  limit: { attempts: 2 },
  timeLeftMs: 1000,
};
const plan = (change: Partial<FailedAttempt>, tokens = 5) =>
  planRetry({ ...failed, ...change }, { tokens }, 0.5);

test("a write is retried only if it has not run", () => {
  expect(plan({})).toEqual({ type: "retry", delayMs: 45, budget: { tokens: 4 } });
  expect(plan({ verdict: mayHaveRun })).toEqual({ type: "giveUp", reason: "mayHaveRun" });
  expect(plan({ verdict: { type: "ran" } })).toMatchObject({ reason: "ran" });
  expect(plan({ verdict: mayHaveRun, effect: "read" })).toMatchObject({ type: "retry" });
  expect(plan({ effect: "read", isAnswerBegun: true })).toMatchObject({ reason: "answerBegun" });
});

test("attempts, time and budget limit the retries", () => {
  expect(plan({ attempts: 3 })).toMatchObject({ reason: "noAttemptsLeft" });
  expect(plan({ timeLeftMs: 45 })).toMatchObject({ reason: "noTime" });
  expect(plan({}, 0.9)).toMatchObject({ reason: "noBudget" });
});

// Guards against a retry storm: the primary is missing for a while and every attempt fails. If each
// request were tried three times, the new primary would get three times the load.
// The budget allows one retry per ten first attempts, and this extra load ends with the cause.
test("retries are at most a tenth of the first attempts", () => {
  fc.assert(
    fc.property(fc.integer({ min: 50, max: 400 }), fc.nat(10), (requests, attempts) => {
      let budget = fullRetryBudget;
      let retries = 0;
      for (let i = 0; i < requests; i++) {
        budget = recordFirstAttempt(budget);
        for (let attempt = 1; ; attempt++) {
          const next = planRetry(
            { ...failed, attempts: attempt, limit: { attempts } },
            budget,
            0.5,
          );
          if (next.type === "giveUp") break;
          budget = next.budget;
          retries += 1;
        }
      }
      expect(retries).toBeLessThanOrEqual(10 + requests / 10);
    }),
    { seed: 8 },
  );
});

test("a repeat with the same key gets the recorded answer, another statement a conflict", () => {
  const key = { key: "k", digest: "d" };
  const record = { ...key, answer: "INSERT 0 1" };
  expect(planKeyedWrite(key, undefined)).toEqual({ type: "run" });
  expect(planKeyedWrite(key, record)).toEqual({ type: "replay", answer: "INSERT 0 1" });
  expect(planKeyedWrite({ ...key, digest: "e" }, record)).toEqual({ type: "conflict" });
});

// The answer to a keyed write is lost. A repeat finds the record of the write while that is kept.
// After the record has been dropped, a repeat would run the write a second time.
test("a keyed write that may have run is retried only while records are kept", () => {
  const retry = { verdict: mayHaveRun, sinceFirstAttemptMs: 10, retentionMs: 1000 };
  expect(canRetryKeyedWrite(retry)).toBe(true);
  expect(canRetryKeyedWrite({ ...retry, sinceFirstAttemptMs: 1000 })).toBe(false);
  expect(canRetryKeyedWrite({ ...retry, verdict: { type: "ran" } })).toBe(false);
});
