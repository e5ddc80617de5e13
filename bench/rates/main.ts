// Plays teams at a fleet that keeps them to their rates, in virtual time, and prints what was refused though
// the team was within its rate, the worst window against the bound, and the messages between proxies.
import { silentLogger } from "../../src/log/index.js";
import type { Team } from "../../src/model/index.js";
import {
  chooseIssuers,
  TokenRateLimiter,
  type TokenGrant,
  type RateBounds,
} from "../../src/rates/index.js";
import { createRandom } from "../admission/random.js";

const bounds: RateBounds = { windowMs: 5000, overage: 0.1, slack: 20 };
const seconds = 40;
/** Not judged: all begin with nothing. */
const warmUpMs = 10_000;
const stepMs = 5;

interface Scenario {
  readonly name: string;
  /** Proxies that send statements to targets, each with its part of what all send. */
  readonly weights: readonly number[];
  readonly operationsPerSecond: number;
  readonly teams: number;
  /** Rates are so many times what teams send on average. */
  readonly rateFactor: number;
  /** The largest team sends so many times its usual. */
  readonly hotFactor: number;
  /** Proxies at which a small team's operations come. */
  readonly places: number;
  /** The first and every n-th after it is lost and still counted: what it would make is missing. */
  readonly lostEach?: number;
  /** The first and every n-th after it hears of the others of these alone, and callers come to all. */
  readonly cutEach?: number;
}

interface Player {
  readonly team: Team;
  readonly perSecond: number;
  readonly places: readonly number[];
  readonly ran: number[];
  sent: number;
  refused: number;
  /** Operations that its rate allows and that did not come yet, filled like a bucket. */
  allowance: number;
  refusedWithin: number;
}

const random = createRandom(7);

async function play(scenario: Scenario): Promise<void> {
  let now = 0;
  let messages = 0;
  const players = makePlayers(scenario);
  const roster = new Map(players.map(({ team }) => [team.name, team]));
  const weights = new Map(scenario.weights.map((weight, i) => [String(i), weight]));
  const keepers: TokenRateLimiter[] = scenario.weights.map(
    (_, index) =>
      new TokenRateLimiter({
        clock: { now: () => now, sleep: () => new Promise(() => undefined) },
        random,
        logger: silentLogger,
        bounds,
        findTeam: (name) => roster.get(name),
        findShare: (team, makers) => {
          const chosen = chooseIssuers(team, makers, weights);
          if (!chosen.includes(String(index))) return 0;
          const all = chosen.reduce((sum, vm) => sum + (weights.get(vm) ?? 0), 0);
          return (weights.get(String(index)) ?? 0) / all;
        },
        listIssuers: (team, makers) => ({
          responsive: chooseIssuers(team, makers, weights).filter((vm) => vm !== String(index)),
          silent: [],
        }),
        requestTokens: (peer, team, wanted): Promise<TokenGrant | undefined> => {
          messages += 1;
          if (isLost(scenario, Number(peer))) return Promise.resolve(undefined);
          if (isCut(scenario, Number(peer)) !== isCut(scenario, index)) {
            return Promise.resolve(undefined);
          }
          return Promise.resolve(keepers[Number(peer)]?.grantTokens(team, wanted));
        },
        hasStalledSince: () => false,
      }),
  );
  for (const keeper of keepers) keeper.update([...roster.values()]);
  const gone = new AbortController().signal;
  for (; now < seconds * 1000; now += stepMs) {
    for (const player of players) {
      const { team, perSecond, places } = player;
      const rate = team.rate ?? { perSecond: 0, burst: 0 };
      player.allowance = Math.min(rate.burst, player.allowance + (rate.perSecond * stepMs) / 1000);
      if (random.draw() >= (perSecond * stepMs) / 1000) continue;
      const place = places[Math.floor(random.draw() * places.length)] ?? 0;
      const reservation = await keepers[place]?.reserve(team, now + 1000, gone);
      if (now < warmUpMs || reservation === undefined) continue;
      player.sent += 1;
      const isWithin = player.allowance >= 1;
      if (isWithin) player.allowance -= 1;
      if (reservation.type === "granted" && reservation.claim.consume()) player.ran.push(now);
      else {
        player.refused += 1;
        if (isWithin) player.refusedWithin += 1;
      }
    }
  }
  print(scenario, players, messages);
}

function makePlayers(scenario: Scenario): readonly Player[] {
  const { weights, operationsPerSecond, teams, rateFactor, hotFactor, places } = scenario;
  const alive = weights.map((weight, i) => (isLost(scenario, i) ? 0 : weight));
  const sizes = Array.from({ length: teams }, (_, i) => 1 / (i + 1));
  const sum = sizes.reduce((total, size) => total + size, 0);
  return sizes.map((size, i) => {
    const usual = (operationsPerSecond * size) / sum;
    const perSecond = Math.max(5, Math.round(usual * rateFactor));
    return {
      team: { name: `team${i}`, plan: "paying", rate: { perSecond, burst: perSecond } },
      perSecond: i === 0 ? usual * hotFactor : usual,
      places: choosePlaces(alive, usual > 10 ? weights.length : places),
      ran: [],
      sent: 0,
      refused: 0,
      allowance: perSecond,
      refusedWithin: 0,
    };
  });
}

function isLost({ lostEach }: Scenario, index: number): boolean {
  return lostEach !== undefined && index % lostEach === 0;
}

function isCut({ cutEach }: Scenario, index: number): boolean {
  return cutEach !== undefined && index % cutEach === 0;
}

/** Places in proportion to their weights. */
function choosePlaces(weights: readonly number[], count: number): readonly number[] {
  const all = weights.reduce((total, weight) => total + weight, 0);
  return Array.from({ length: count }, () => {
    let left = random.draw() * all;
    return Math.max(
      0,
      weights.findIndex((weight) => (left -= weight) < 0),
    );
  });
}

function print({ name }: Scenario, players: readonly Player[], messages: number): void {
  const sent = players.reduce((sum, player) => sum + player.sent, 0);
  const within = players.reduce((sum, player) => sum + player.refusedWithin, 0);
  const errors = players.map(({ ran, team }) => {
    const { perSecond = 0, burst = 0 } = team.rate ?? {};
    const bound =
      ((perSecond * bounds.windowMs) / 1000 + burst) * (1 + bounds.overage) + bounds.slack;
    return countWorst(ran) / bound;
  });
  const shares = {
    "refused within the rate": `${((within / sent) * 100).toFixed(2)} %`,
    "worst window of its bound": Math.max(...errors).toFixed(2),
    "messages a second": (messages / seconds).toFixed(1),
  };
  console.log(name, shares);
}

function countWorst(times: readonly number[]): number {
  let worst = 0;
  let from = 0;
  for (const [i, time] of times.entries()) {
    while ((times[from] ?? time) <= time - bounds.windowMs) from += 1;
    worst = Math.max(worst, i - from + 1);
  }
  return worst;
}

/** Gateways as they are chosen: a few strong ones first for most groups, the rest stand by. */
const gateways = (firsts: readonly number[], seconds_: number) => [
  ...firsts,
  ...Array.from({ length: seconds_ }, () => 0.15),
];

const usual = { teams: 72, rateFactor: 1.6, hotFactor: 1, places: 3 } as const;
const sizes = [
  { size: "9", weights: Array.from({ length: 9 }, () => 6), operationsPerSecond: 315 },
  { size: "60", weights: gateways([3, 3, 3, 2, 2, 2, 1, 1, 1], 9), operationsPerSecond: 753 },
  {
    size: "81",
    weights: gateways([3, 3, 3, 3, 2, 2, 2, 2, 1, 1, 1, 1], 12),
    operationsPerSecond: 1366,
  },
] as const;

for (const { size, ...rest } of sizes) {
  await play({ ...usual, ...rest, lostEach: 100, name: `${size} nodes, a strong one lost` });
  await play({ ...usual, ...rest, lostEach: 3, name: `${size} nodes, a third lost` });
  await play({ ...usual, ...rest, cutEach: 3, name: `${size} nodes, a third cut off` });
  await play({ ...usual, ...rest, name: `${size} nodes, usual` });
  await play({ ...usual, ...rest, hotFactor: 7.5, name: `${size} nodes, a hot team` });
  await play({
    ...usual,
    ...rest,
    places: 1,
    name: `${size} nodes, small teams at one proxy each`,
  });
}
