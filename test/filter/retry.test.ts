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

let tried = 0;

function runTries(verdicts: readonly Verdict[], asked: Request): Promise<Outcome> {
  return new Retrier(clock, { draw: () => 0 }).run({
    request: asked,
    signal: new AbortController().signal,
    run: (tries) => {
      tried = tries;
      return Promise.resolve(failWith(verdicts[tries - 1] ?? notRun));
    },
    canRetryHere: () => true,
    hasAnswerBegun: () => false,
    onRetry: () => undefined,
  });
}

// The answer to a keyed write's commit is lost, and its repeat meets a group without a primary.
// The repeat did not run, but the first try may have: a caller that heard "not run" could book the
// cello elsewhere while this family has it already.
test("a request that may have run once is never told not to have run", async () => {
  expect(await runTries([unknown, notRun], keyed)).toMatchObject({ verdict: unknown });
});

// Without a key a repeat could run a second time.
test("a write without a key that may have run is not tried again", async () => {
  expect(await runTries([unknown, notRun], unkeyed)).toMatchObject({ verdict: unknown });
  expect(tried).toBe(1);
});
