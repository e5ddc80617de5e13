import { expect, test } from "@jest/globals";
import { silentLogger } from "../../src/log/index.js";
import type { Team } from "../../src/model/index.js";
import { TokenRateLimiter, type RateBounds } from "../../src/rates/index.js";
import { FakeClock, makeRandom } from "../fleet/fakes.js";

const team: Team = { name: "cello", plan: "paying", rate: { perSecond: 10, burst: 10 } };
const bounds: RateBounds = { windowMs: 2000, overage: 0.1, slack: 10 };
const signal = new AbortController().signal;

interface PlayOptions {
  readonly proxies: number;
  /** The time between two operations, all at the first proxy. */
  readonly intervalMs: number;
  /** The time that the answer to a request for tokens takes. */
  readonly answerMs: number;
  readonly seed: number;
}

/** Plays one team whose callers all use one of several proxies; returns when it was served and when refused. */
async function play({ proxies, intervalMs, answerMs, seed }: PlayOptions) {
  const clock = new FakeClock();
  const names = Array.from({ length: proxies }, (_, i) => String(i));
  const limiters = names.map(
    (own): TokenRateLimiter =>
      new TokenRateLimiter({
        clock,
        random: makeRandom(seed),
        logger: silentLogger,
        bounds,
        findTeam: () => team,
        findShare: () => 1 / proxies,
        listIssuers: () => ({ responsive: names.filter((name) => name !== own), silent: [] }),
        requestTokens: async (peer, name, wanted) => {
          const grant = limiters[Number(peer)]?.grantTokens(name, wanted);
          await clock.sleep(answerMs);
          return grant;
        },
        hasStalledSince: () => false,
      }),
  );
  for (const limiter of limiters) limiter.update([team]);
  await clock.advance(11_000);
  const served: number[] = [];
  const refused: number[] = [];
  const pending: Promise<void>[] = [];
  for (let i = 0; i < 300; i += 1) {
    const reserved = Promise.resolve(limiters[0]?.reserve(team, clock.now() + 1000, signal));
    pending.push(
      reserved.then((reservation) => {
        const isServed = reservation?.type === "granted" && reservation.claim.consume();
        (isServed ? served : refused).push(clock.now());
      }),
    );
    await clock.advance(intervalMs);
  }
  await Promise.all(pending);
  return { served, refused };
}

// Tokens transferred together expired with the first of them, and a team within its rate was refused.
test.each([1, 2, 3, 4, 5])(
  "a team within its rate whose callers all use one proxy is never refused, seed %i",
  async (seed) => {
    const { refused } = await play({ proxies: 4, intervalMs: 120, answerMs: 3, seed });
    expect(refused).toEqual([]);
  },
);

// Answers of busy proxies take longer than a round of requests.
test.each([1, 2, 3])(
  "a team within its rate is never refused while answers take 120 ms, seed %i",
  async (seed) => {
    const { refused } = await play({ proxies: 4, intervalMs: 120, answerMs: 120, seed });
    expect(refused).toEqual([]);
  },
);

test("a team over its rate gets no more than its bound in any window", async () => {
  const { served } = await play({ proxies: 4, intervalMs: 20, answerMs: 3, seed: 1 });
  const counts = served.map((from) => served.filter((at) => at >= from && at < from + 2000).length);
  expect(Math.max(...counts)).toBeLessThanOrEqual((10 * 2 + 10) * 1.1 + 10);
  expect(served.length).toBeGreaterThan(40);
});
