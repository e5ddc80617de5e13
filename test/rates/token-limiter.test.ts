import { expect, test } from "@jest/globals";
import { silentLogger } from "../../src/log/index.js";
import type { Team } from "../../src/model/index.js";
import { TokenRateLimiter, type TokenGrant, type RateReservation } from "../../src/rates/index.js";
import { makeRandom } from "../fleet/fakes.js";

const team: Team = { name: "cello", plan: "paying", rate: { perSecond: 10, burst: 10 } };
const signal = new AbortController().signal;

interface FixtureOptions {
  readonly share?: number;
  readonly peers?: readonly string[];
  readonly ask?: (peer: string) => Promise<TokenGrant | undefined>;
}

/** One process's limiter with a clock that only the test moves, and peers that the test answers for. */
class LimiterFixture {
  now = 0;
  stalledAt = -1;
  readonly asked: string[] = [];
  readonly limiter: TokenRateLimiter;

  constructor({ share = 1, peers = [], ask }: FixtureOptions = {}) {
    this.limiter = new TokenRateLimiter({
      clock: { now: () => this.now, sleep: () => new Promise(() => undefined) },
      random: makeRandom(1),
      logger: silentLogger,
      bounds: { windowMs: 1000, overage: 0, slack: 0 },
      findTeam: () => team,
      findShare: () => share,
      listIssuers: () => ({ responsive: peers, silent: [] }),
      requestTokens: (peer) => {
        this.asked.push(peer);
        return ask?.(peer) ?? Promise.resolve(undefined);
      },
      hasStalledSince: (time) => this.stalledAt >= time,
    });
    this.limiter.update([team]);
  }

  async reserve(): Promise<RateReservation> {
    return this.limiter.reserve(team, this.now + 1000, signal);
  }

  async claim() {
    const reserved = await this.reserve();
    if (reserved.type !== "granted") throw new Error(reserved.reason);
    return reserved.claim;
  }

  /** Reserves until refused, and returns how many operations were granted. */
  async count(): Promise<number> {
    let count = 0;
    while ((await this.reserve()).type === "granted") count += 1;
    return count;
  }
}

// A statement waits in a queue for longer than its token's life. The token must not be used any more, but others
// have been issued meanwhile. If the statement were refused, the caller would have waited in vain although its
// team is within its rate.
test("an operation that waits for longer than its token's life takes a token issued meanwhile", async () => {
  const fixture = new LimiterFixture();
  fixture.now = 500;
  const claim = await fixture.claim();
  fixture.now = 5000;
  expect(claim.consume()).toBe(true);
  const left = await fixture.count();
  expect(left).toBeGreaterThan(0);
  expect(left).toBeLessThan(9);
});

// The same, but all tokens issued meanwhile are taken. If the statement were sent anyway, it would run in a window
// that its expired token does not belong to.
test("an operation that waits for longer than its token's life is not sent when no other token is left", async () => {
  const fixture = new LimiterFixture();
  fixture.now = 500;
  const claim = await fixture.claim();
  fixture.now = 5000;
  await fixture.count();
  expect(claim.consume()).toBe(false);
});

// A read is attempted at a target, which may have run it, and then at another target: both attempts may have
// run, so both count against the team.
test("an attempt counts again after one that may have run, and not after one that has not run", async () => {
  const fixture = new LimiterFixture();
  fixture.now = 500;
  const claim = await fixture.claim();
  expect(claim.consume()).toBe(true);
  claim.noteNotRun();
  expect(claim.consume()).toBe(true);
  const twice = new LimiterFixture();
  twice.now = 500;
  const other = await twice.claim();
  expect(other.consume()).toBe(true);
  expect(other.consume()).toBe(true);
  expect(await twice.count()).toBe((await fixture.count()) - 1);
});

test("tokens that were reserved but not consumed are returned", async () => {
  const fixture = new LimiterFixture();
  fixture.now = 500;
  const [first, ...rest] = await Promise.all([fixture.claim(), fixture.claim()]);
  const left = await fixture.count();
  expect(left).toBeGreaterThan(0);
  for (const claim of [first, ...rest]) claim.release();
  expect(await fixture.count()).toBe(2);
});

// The process is suspended and its clock does not advance. By that clock its tokens are still valid; by the
// clocks of all other processes they expired long ago.
test("tokens from before a suspension are not used", async () => {
  const fixture = new LimiterFixture();
  fixture.now = 500;
  const claim = await fixture.claim();
  fixture.stalledAt = 600;
  fixture.limiter.dropTokens();
  expect(claim.consume()).toBe(false);
  expect(await fixture.count()).toBe(0);
});

// A proxy issues none of a team's tokens, and most of those that do are cut off. The proxy finds one that
// answers. When none answers, it refuses at once for a while instead of asking again for each operation of a
// busy team.
test("peers are asked a few at a time, and not again right after none had tokens", async () => {
  const parcel = { tokens: 3, lifeMs: 500 };
  const answering = new LimiterFixture({
    share: 0,
    peers: ["a", "b", "c", "d"],
    ask: (peer) => Promise.resolve(peer === "d" ? parcel : undefined),
  });
  for (let i = 0; i < 3; i += 1)
    expect(await answering.reserve()).toMatchObject({ type: "granted" });
  expect(new Set(answering.asked)).toContain("d");
  expect(answering.asked.length).toBeLessThanOrEqual(4);
  // However many tokens are available, the requests per second of a process are limited.
  expect(await answering.count()).toBeLessThanOrEqual(3 * 120);
  const silent = new LimiterFixture({ share: 0, peers: ["a", "b", "c", "d"] });
  expect(await silent.reserve()).toMatchObject({ type: "refused" });
  const asked = silent.asked.length;
  expect(asked).toBe(4);
  expect(await silent.reserve()).toMatchObject({ type: "refused" });
  expect(silent.asked).toHaveLength(asked);
});

// A team's tokens are issued by dozens of processes and each has a few, so that a busy process needs hundreds of requests
// a second. If those that bring tokens counted against the limit, it would refuse a team that is within its rate.
test("requests that bring tokens do not use up the limit of requests", async () => {
  const peers = Array.from({ length: 30 }, (_, i) => `p${i}`);
  const ask = () => Promise.resolve({ tokens: 1, lifeMs: 1000 });
  const fixture = new LimiterFixture({ share: 0, peers, ask });
  expect(await countGranted(fixture, 400)).toBe(400);
  expect(fixture.asked.length).toBeGreaterThan(120);
});

// All processes run out of tokens at once. If requests without an answer or without tokens were not limited, all would
// spend their time on asking each other.
test.each([
  ["are not answered", undefined],
  ["bring no tokens", { tokens: 0, lifeMs: 0 }],
])("requests that %s use up the limit of requests of their team", async (_, grant) => {
  const peers = Array.from({ length: 30 }, (__, i) => `p${i}`);
  const fixture = new LimiterFixture({ share: 0, peers, ask: () => Promise.resolve(grant) });
  for (let i = 0; i < 400; i += 1) {
    fixture.now += 2;
    await fixture.reserve();
  }
  expect(fixture.asked.length).toBeGreaterThan(0);
  // A round of six that begins below the limit of 40 may exceed it.
  expect(fixture.asked.length).toBeLessThanOrEqual(45);
});

/** Reserves `count` operations within a fraction of a second, and returns how many were granted. */
async function countGranted(fixture: LimiterFixture, count: number): Promise<number> {
  let granted = 0;
  for (let i = 0; i < count; i += 1) {
    fixture.now += 2;
    if ((await fixture.reserve()).type === "granted") granted += 1;
  }
  return granted;
}
