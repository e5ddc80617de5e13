import { expect, test } from "@jest/globals";
import { Retrier } from "../../src/filter/index.js";
import type { Outcome, Request, Verdict } from "../../src/model/index.js";

const clock = { now: () => 0, sleep: () => Promise.resolve() };

const unkeyed: Request = {
  id: "r1",
  traits: {
    group: "libro",
    team: "ferrante",
    plan: "paying",
    kind: "reservation",
    effect: "write",
    tables: [],
    transaction: false,
  },
  rule: "all",
  action: {
    type: "serve",
    route: { type: "primary" },
    priority: "critical",
    deadlineMs: 1000,
    maxQueueMs: 1000,
    retry: { attempts: 1 },
    acknowledgement: "replicated",
  },
  deadlineAt: 1000,
};
const keyed: Request = { ...unkeyed, idempotency: { key: "k", digest: "d" } };

const failWith = (verdict: Verdict): Outcome => ({ type: "failed", verdict, message: "" });
const unknown: Verdict = { type: "mayHaveRun", reason: "lost while committing" };
const notRun: Verdict = { type: "notRun", reason: "noPrimary", retryAfterMs: 10 };

let lastAttempt = 0;

function runAttempts(verdicts: readonly Verdict[], request: Request): Promise<Outcome> {
  return new Retrier(clock, { draw: () => 0 }).run({
    request,
    signal: new AbortController().signal,
    run: (attempt) => {
      lastAttempt = attempt;
      return Promise.resolve(failWith(verdicts[attempt - 1] ?? notRun));
    },
    canRetryHere: () => true,
    hasAnswerBegun: () => false,
    onRetry: () => undefined,
  });
}

// The answer to a keyed write's commit is lost, and its retry finds the group without a primary.
// The retry did not run, but the first attempt may have. A caller that is told "not run" could repeat
// the write elsewhere, and it would take effect twice.
test("a request of which an attempt may have run is never reported as not run", async () => {
  expect(await runAttempts([unknown, notRun], keyed)).toMatchObject({ verdict: unknown });
});

// Without a key nothing keeps a retry from running the write a second time.
test("a write without a key that may have run is not retried", async () => {
  expect(await runAttempts([unknown, notRun], unkeyed)).toMatchObject({ verdict: unknown });
  expect(lastAttempt).toBe(1);
});
