import { expect, test } from "@jest/globals";
import { silentLogger } from "../../src/log/index.js";
import type { Team } from "../../src/model/index.js";
import { TokenRateLimiter, type TokenGrant, type RateReservation } from "../../src/rates/index.js";
import { makeRandom } from "../fleet/fakes.js";

const team: Team = { name: "cello", plan: "paying", rate: { perSecond: 10, burst: 10 } };
const gone = new AbortController().signal;

interface BenchOptions {
  readonly share?: number;
  readonly peers?: readonly string[];
  readonly ask?: (peer: string) => Promise<TokenGrant | undefined>;
}

/** One process's keeper, with time that stands still and peers that the test answers for. */
class Bench {
  now = 0;
  stalledAt = -1;
  readonly asked: string[] = [];
  readonly keeper: TokenRateLimiter;

  constructor({ share = 1, peers = [], ask }: BenchOptions = {}) {
    this.keeper = new TokenRateLimiter({
      clock: { now: () => this.now },
      random: makeRandom(1),
      logger: silentLogger,
      bounds: { windowMs: 1000, overage: 0, slack: 0 },
      findTeam: () => team,
      findShare: () => share,
      listIssuers: () => peers,
      requestTokens: (peer) => {
        this.asked.push(peer);
        return ask?.(peer) ?? Promise.resolve(undefined);
      },
      hasStalledSince: (time) => this.stalledAt >= time,
    });
    this.keeper.update([team]);
  }

  async reserve(): Promise<RateReservation> {
    return this.keeper.reserve(team, this.now + 1000, gone);
  }

  async claim() {
    const reserved = await this.reserve();
    if (reserved.type !== "granted") throw new Error(reserved.reason);
    return reserved.claim;
  }

  /** How many more operations may begin now. */
  async count(): Promise<number> {
    let count = 0;
    while ((await this.reserve()).type === "granted") count += 1;
    return count;
  }
}

// A statement waits in a queue for longer than its token lives. The token must not be used any more, but others
// have been made meanwhile: refused, the caller would have waited in vain though its team is within its rate.
test("what waits for longer than its token lives takes one that was made meanwhile", async () => {
  const bench = new Bench();
  bench.now = 500;
  const claim = await bench.claim();
  bench.now = 5000;
  expect(claim.consume()).toBe(true);
  const left = await bench.count();
  expect(left).toBeGreaterThan(0);
  expect(left).toBeLessThan(9);
});

// The same, where no token was made meanwhile. Sent all the same it would run in a window that its token does
// not belong to.
test("what waits for longer than its token lives is not sent where there is no other", async () => {
  const bench = new Bench();
  bench.now = 500;
  const claim = await bench.claim();
  bench.now = 5000;
  await bench.count();
  expect(claim.consume()).toBe(false);
});

// A read is tried at a target, which may have run it, and again at another. Both may count against the team.
test("a try after one that may have run counts once more, and one after none that ran does not", async () => {
  const bench = new Bench();
  bench.now = 500;
  const claim = await bench.claim();
  expect(claim.consume()).toBe(true);
  claim.noteNotRun();
  expect(claim.consume()).toBe(true);
  const twice = new Bench();
  twice.now = 500;
  const other = await twice.claim();
  expect(other.consume()).toBe(true);
  expect(other.consume()).toBe(true);
  expect(await twice.count()).toBe((await bench.count()) - 1);
});

test("what was reserved and not used is there for the next", async () => {
  const bench = new Bench();
  bench.now = 500;
  const [first, ...rest] = await Promise.all([bench.claim(), bench.claim()]);
  const left = await bench.count();
  expect(left).toBeGreaterThan(0);
  for (const claim of [first, ...rest]) claim.release();
  expect(await bench.count()).toBe(2);
});

// The process is suspended, and its clock with it. By that clock its tokens live; by everybody else's they
// lapsed long ago.
test("tokens from before a stall are not used", async () => {
  const bench = new Bench();
  bench.now = 500;
  const claim = await bench.claim();
  bench.stalledAt = 600;
  bench.keeper.dropTokens();
  expect(claim.consume()).toBe(false);
  expect(await bench.count()).toBe(0);
});

// A proxy makes none of a team's tokens, and most of those that do are cut off. It finds one that answers, and
// where none does it refuses at once from then on, without asking for each of a hot team's operations.
test("others are asked a few at a time, and not again at once when none has any", async () => {
  const parcel = { tokens: 3, lifeMs: 500 };
  const answering = new Bench({
    share: 0,
    peers: ["a", "b", "c", "d"],
    ask: (peer) => Promise.resolve(peer === "d" ? parcel : undefined),
  });
  for (let i = 0; i < 3; i += 1)
    expect(await answering.reserve()).toMatchObject({ type: "granted" });
  expect(new Set(answering.asked)).toContain("d");
  expect(answering.asked.length).toBeLessThanOrEqual(4);
  // However much there is to be had, a process asks so often a second and no more.
  expect(await answering.count()).toBeLessThanOrEqual(3 * 120);
  const silent = new Bench({ share: 0, peers: ["a", "b", "c", "d"] });
  expect(await silent.reserve()).toMatchObject({ type: "refused" });
  const asked = silent.asked.length;
  expect(asked).toBe(4);
  expect(await silent.reserve()).toMatchObject({ type: "refused" });
  expect(silent.asked).toHaveLength(asked);
});
