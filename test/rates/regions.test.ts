import { expect, test } from "@jest/globals";
import { silentLogger } from "../../src/log/index.js";
import type { Team } from "../../src/model/index.js";
import { TokenRateLimiter, type TokenGrant, type TokenIssuers } from "../../src/rates/index.js";
import { shuffle } from "../../src/system/index.js";
import { FakeClock, makeRandom } from "../fleet/fakes.js";

const team: Team = { name: "cello", plan: "paying", rate: { perSecond: 10, burst: 10 } };
const grant: TokenGrant = { tokens: 1, lifeMs: 1000 };
const signal = new AbortController().signal;
const remoteRoundTripMs = 60;
const near = Array.from({ length: 7 }, (_, i) => `near-${i}`);
const remote = Array.from({ length: 3 }, (_, i) => `remote-${i}`);

/** A limiter without a share of its own; peers in other regions answer after a round trip. */
function createLimiter(issuers: TokenIssuers, hasTokens: (peer: string) => boolean) {
  const clock = new FakeClock();
  const asked: string[] = [];
  const limiter = new TokenRateLimiter({
    clock,
    random: makeRandom(1),
    logger: silentLogger,
    bounds: { windowMs: 1000, overage: 0, slack: 0 },
    findTeam: () => team,
    findShare: () => 0,
    listIssuers: () => issuers,
    requestTokens: async (peer) => {
      asked.push(peer);
      await clock.sleep(peer.startsWith("remote") ? remoteRoundTripMs : 1);
      return hasTokens(peer) ? grant : { tokens: 0, lifeMs: 0 };
    },
    hasStalledSince: () => false,
  });
  limiter.update([team]);
  return { clock, asked, limiter };
}

async function reserve({ clock, limiter }: ReturnType<typeof createLimiter>): Promise<string> {
  const reserved = Promise.resolve(limiter.reserve(team, clock.now() + 1000, signal));
  await clock.advance(400);
  return (await reserved).type;
}

test("tokens are requested from peers of this region first", async () => {
  const running = createLimiter({ responsive: near, remote, silent: [] }, () => true);
  expect(await reserve(running)).toBe("granted");
  expect(running.asked).toHaveLength(2);
  expect(running.asked.every((peer) => peer.startsWith("near"))).toBe(true);
});

// All callers of the team are in this region: its share in the other one must not expire unused.
test("a team gets the tokens that only the other region has left", async () => {
  const hasTokens = (peer: string) => peer.startsWith("remote");
  const running = createLimiter({ responsive: near, remote, silent: [] }, hasTokens);
  expect(await reserve(running)).toBe("granted");
  expect(running.asked).toHaveLength(6);
  expect(running.asked.filter((peer) => peer.startsWith("remote"))).toHaveLength(2);
});

// With the time of a round within a region, four more peers would be asked before the first can answer.
test("a round that asks another region waits for a round trip of 60 ms", async () => {
  const running = createLimiter({ responsive: [], remote, silent: [] }, () => true);
  expect(await reserve(running)).toBe("granted");
  expect(running.asked).toHaveLength(2);
});

// Guards deployments without regions: the peers and the random draws must be as before.
test("without regions peers are asked in the order of the shuffle alone", async () => {
  const random = makeRandom(1);
  const silent = ["silent-0", "silent-1"];
  const expected = [...shuffle(near, random), ...shuffle(silent, random)].slice(0, 6);
  for (const issuers of [
    { responsive: near, silent },
    { responsive: near, remote: [], silent },
  ]) {
    const running = createLimiter(issuers, () => false);
    expect(await reserve(running)).toBe("refused");
    expect(running.asked).toEqual(expected);
  }
});
