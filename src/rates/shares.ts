import { hashPair } from "../policy/index.js";

/**
 * How long a proxy goes on issuing tokens after it last knew that it is listed and not marked as missed, in
 * milliseconds. An entry that is marked is removed no sooner than 10 s later, and only then do other proxies
 * take over its share; the proxy has stopped by then.
 */
export const maxListingAgeMs = 8000;
/** How long after a proxy was added to the list the other proxies include it in the shares, in milliseconds. */
const countDelayMs = 8000;
/**
 * How long after a proxy was added to the list it issues tokens itself, in milliseconds. By then the other
 * proxies include it in the shares, and one that was cut off before it was added has stopped issuing.
 */
const issueDelayMs = 10_000;
/**
 * The number of a team's issuers is chosen so that each holds about this many tokens on average. With fewer
 * each, a proxy with callers of the team would have to ask many other proxies, one for each operation.
 */
const tokensPerIssuer = 6;
/** With this many issuers some are likely to be left on either side of a network partition. */
const minIssuers = 8;

/**
 * Hashes are below this. One is added to the hash and to the range, so that the fraction is neither 0 nor 1.
 */
const hashRange = 2 ** 32;

/** How many proxies issue a team's tokens when `liveTokens` of them are valid at a time. */
export function countIssuers(liveTokens: number): number {
  return Math.max(minIssuers, Math.floor(liveTokens / tokensPerIssuer));
}

/**
 * Chooses the proxies that issue a team's tokens, by weighted rendezvous hashing: proxies that send more
 * statements issue more tokens. With equal weights each proxy would have to ask others several times as often.
 */
export function chooseIssuers(
  team: string,
  count: number,
  weights: ReadonlyMap<string, number>,
): readonly string[] {
  if (count >= weights.size) return [...weights.keys()];
  const scored = [...weights].map(([vm, weight]) => {
    const uniform = (hashPair(team, vm) + 1) / (hashRange + 1);
    return { vm, score: weight / -Math.log(uniform) };
  });
  return scored
    .sort((a, b) => b.score - a.score)
    .slice(0, count)
    .map(({ vm }) => vm);
}

/** A listed proxy with its weight in the distribution of tokens. */
export interface WeightedProxy {
  readonly vm: string;
  /** Relative to the other proxies; does not change while the proxy is listed. */
  readonly weight: number;
}

interface ListedProxy {
  readonly weight: number;
  /** From then on the proxy is included in the shares. */
  readonly countedFrom: number;
}

/**
 * Computes the share of each team's rate for which this process issues tokens: its weight divided by that of
 * all issuers of the team.
 *
 * Proxies learn of a change of the list at different times, and the sum of all shares must not exceed one
 * meanwhile. A proxy that joins is therefore included by the others before it issues any tokens. A proxy is
 * included as long as its entry exists, marked as missed or not: when it is cut off it goes on issuing, and
 * its tokens serve the callers on its side of the partition. A proxy that removes its own entry has stopped
 * issuing before, and the entry of a lost proxy is removed only once it would have stopped by itself.
 */
export class RateShares {
  private listed: ReadonlyMap<string, ListedProxy> | undefined;
  private counted: ReadonlyMap<string, number> = new Map();
  private readonly issuers = new Map<string, readonly string[]>();

  constructor(private readonly vm: string) {}

  /**
   * Updates the list of proxies. The proxies of the first list that a process gets count at once: they
   * were listed before it started.
   */
  updateProxies(proxies: readonly WeightedProxy[], now: number): void {
    const known = this.listed;
    const findStart = (vm: string) => {
      if (known === undefined) return now;
      return known.get(vm)?.countedFrom ?? now + (vm === this.vm ? issueDelayMs : countDelayMs);
    };
    this.listed = new Map(
      proxies.map(({ vm, weight }) => [vm, { weight, countedFrom: findStart(vm) }]),
    );
    this.refresh(now);
  }

  /** Includes the proxies whose delay has passed; returns whether that changes any shares. */
  refresh(now: number): boolean {
    const due = [...(this.listed ?? [])].filter(([, { countedFrom }]) => now >= countedFrom);
    const counted = new Map(due.map(([vm, { weight }]) => [vm, weight]));
    const isSame = [...counted].every(([vm, weight]) => this.counted.get(vm) === weight);
    if (isSame && counted.size === this.counted.size) return false;
    this.counted = counted;
    this.issuers.clear();
    return true;
  }

  /** This process's share of a team's rate, from 0 to 1, when `count` proxies issue its tokens. */
  findShare(team: string, count: number): number {
    const issuers = this.listIssuers(team, count);
    if (!issuers.includes(this.vm)) return 0;
    const total = issuers.reduce((sum, vm) => sum + (this.counted.get(vm) ?? 0), 0);
    return total > 0 ? (this.counted.get(this.vm) ?? 0) / total : 0;
  }

  /** The proxies that issue a team's tokens, this one included if it is chosen. */
  listIssuers(team: string, count: number): readonly string[] {
    const key = `${count} ${team}`;
    const known = this.issuers.get(key);
    if (known !== undefined) return known;
    const chosen = chooseIssuers(team, count, this.counted);
    this.issuers.set(key, chosen);
    return chosen;
  }
}
