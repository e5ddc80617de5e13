import { hashPair } from "../policy/index.js";

/**
 * How long a proxy makes tokens after it last knew that it is listed and nobody has missed it, in milliseconds.
 * An entry that is marked is removed 10 s later at the soonest, and its part is taken over only then.
 */
export const maxListingAgeMs = 8000;
/** From when on a proxy that is new in the list counts for the others, in milliseconds. */
const countedFromMs = 8000;
/**
 * From when on a proxy that is new in the list makes tokens, in milliseconds: the others count it by then, and
 * one that was cut off before it came has stopped.
 */
const makesFromMs = 10_000;
/**
 * Tokens that each proxy that makes some of a team's has at most, on average. Fewer would be spread so thin
 * that a proxy with callers of the team has to ask many others, one for each operation.
 */
const tokensPerMaker = 6;
/** The fewest that make a team's tokens: on either side of a cut some are likely to be left. */
const leastMakers = 8;

/** Hashes are below this, plus one so that none is drawn as 1. */
const hashRange = 2 ** 32;

/** How many proxies make a team's tokens, of which so many are alive at a time. */
export function countIssuers(aliveTokens: number): number {
  return Math.max(leastMakers, Math.floor(aliveTokens / tokensPerMaker));
}

/**
 * The proxies that make a team's tokens, by weighted rendezvous hashing: most where most statements are sent
 * from. With all alike each proxy would have to ask others several times as often.
 */
export function chooseIssuers(
  team: string,
  count: number,
  weights: ReadonlyMap<string, number>,
): readonly string[] {
  if (count >= weights.size) return [...weights.keys()];
  const scored = [...weights].map(([vm, weight]) => {
    const drawn = (hashPair(team, vm) + 1) / (hashRange + 1);
    return { vm, score: weight / -Math.log(drawn) };
  });
  return scored
    .sort((a, b) => b.score - a.score)
    .slice(0, count)
    .map(({ vm }) => vm);
}

/** A listed proxy as the shares need it. */
export interface WeightedProxy {
  readonly vm: string;
  /** Its part of what all make; does not change while it is listed. */
  readonly weight: number;
}

interface Sight {
  readonly weight: number;
  readonly countsFrom: number;
}

/**
 * The share of each team's rate that this process makes tokens of: its weight among those that make them. Proxies
 * learn of a change of the list one after the other, and all shares together have to stay within one
 * meanwhile. So one that comes is counted before it begins, and one counts for as long as its entry stands,
 * missed or not: cut off from others it goes on, and what it makes serves the callers on its side of the cut.
 * Whoever takes itself off the list has stopped before, and the entry of one that was lost is removed only when
 * it would have stopped by itself.
 */
export class RateShares {
  private sights: ReadonlyMap<string, Sight> | undefined;
  private counted: ReadonlyMap<string, number> = new Map();
  private readonly makers = new Map<string, readonly string[]>();

  constructor(private readonly vm: string) {}

  /** Takes in the newest list of proxies; a process that begins finds those that have been there before. */
  updateProxies(sharers: readonly WeightedProxy[], now: number): void {
    const known = this.sights;
    const findStart = (vm: string) => {
      if (known === undefined) return now;
      return known.get(vm)?.countsFrom ?? now + (vm === this.vm ? makesFromMs : countedFromMs);
    };
    this.sights = new Map(
      sharers.map(({ vm, weight }) => [vm, { weight, countsFrom: findStart(vm) }]),
    );
    this.refresh(now);
  }

  /** Counts who counts by now; tells whether that changes shares. */
  refresh(now: number): boolean {
    const due = [...(this.sights ?? [])].filter(([, { countsFrom }]) => now >= countsFrom);
    const counted = new Map(due.map(([vm, { weight }]) => [vm, weight]));
    const isSame = [...counted].every(([vm, weight]) => this.counted.get(vm) === weight);
    if (isSame && counted.size === this.counted.size) return false;
    this.counted = counted;
    this.makers.clear();
    return true;
  }

  /** The share of a team's rate, of which `count` proxies make tokens. */
  findShare(team: string, count: number): number {
    const makers = this.listIssuers(team, count);
    if (!makers.includes(this.vm)) return 0;
    const all = makers.reduce((sum, vm) => sum + (this.counted.get(vm) ?? 0), 0);
    return all > 0 ? (this.counted.get(this.vm) ?? 0) / all : 0;
  }

  /** The proxies that make a team's tokens. */
  listIssuers(team: string, count: number): readonly string[] {
    const key = `${count} ${team}`;
    const known = this.makers.get(key);
    if (known !== undefined) return known;
    const chosen = chooseIssuers(team, count, this.counted);
    this.makers.set(key, chosen);
    return chosen;
  }
}
