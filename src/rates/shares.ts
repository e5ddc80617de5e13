import { hashPair } from "../policy/index.js";

/**
 * How long a proxy goes on issuing tokens after it last knew that it is listed and not marked as missed, in
 * milliseconds. An entry that is marked is removed no sooner than 10 s later, and only then do other proxies
 * take over its share; the proxy has stopped by then.
 */
export const maxListingAgeMs = 8000;
/** How long after the last list without a proxy the other proxies include it in the shares, in milliseconds. */
const countDelayMs = 8000;
/**
 * How long after a proxy was added to the list it issues tokens itself, in milliseconds. By then the other
 * proxies include it in the shares, and one that was cut off before it was added has stopped issuing.
 */
const issueDelayMs = 10_000;
/**
 * A process whose first list was empty, and that is listed within this time of its start, is a founder, in milliseconds:
 * no process issued tokens before. All founders are listed within this time of the first of them.
 */
export const foundingMs = 8000;
/** How long after a founder was added to the list it issues tokens itself, in milliseconds. */
const founderIssueDelayMs = 3500;
/**
 * A founder issues tokens only by a list that is younger than this while other founders may be added, in milliseconds.
 * It is shorter than their delay, so that it includes each of them before that one issues any.
 */
const maxFoundingListAgeMs = 3000;
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

/** What a process knows of the list of proxies. Times are on its clock, in milliseconds. */
export interface ListKnowledge {
  readonly now: number;
  /** When the request was sent whose answer showed the list to be current; undefined before that. */
  readonly currentAt: number | undefined;
  /** Whether the first list that the store gave to this process was empty. */
  readonly wasFirstListEmpty: boolean;
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
 *
 * At a first start nobody issues tokens, and teams would be refused for as long as all proxies wait for each other to
 * be included. The founders therefore begin sooner. Whoever may not know all of them yet includes others at once.
 */
export class RateShares {
  private listed: ReadonlyMap<string, ListedProxy> | undefined;
  private counted: ReadonlyMap<string, number> = new Map();
  private readonly issuers = new Map<string, readonly string[]>();
  /** When this process was first seen in the list. */
  private ownListedAt: number | undefined;
  /** When the request was sent whose answer last showed the known list to be current. */
  private confirmedAt: number | undefined;
  private role: "founder" | "listedBefore" | "newcomer" = "newcomer";

  constructor(
    private readonly vm: string,
    private readonly createdAt: number,
  ) {}

  /**
   * Updates the list of proxies. The proxies of the first list that a process gets count at once: they
   * were listed before it started.
   */
  updateProxies(proxies: readonly WeightedProxy[], knowledge: ListKnowledge): void {
    const { now } = knowledge;
    const known = this.listed;
    if (proxies.some(({ vm }) => vm === this.vm)) this.noteOwnEntry(knowledge);
    const findStart = (vm: string) => {
      if (known === undefined) return now;
      return known.get(vm)?.countedFrom ?? this.findStartOfNew(vm, now);
    };
    this.listed = new Map(
      proxies.map(({ vm, weight }) => [vm, { weight, countedFrom: findStart(vm) }]),
    );
    this.refresh(now);
  }

  /** Records when the request was sent whose answer showed the known list to be current. */
  confirmList(currentAt: number | undefined): void {
    this.confirmedAt = currentAt ?? this.confirmedAt;
  }

  /** Whether this process may issue tokens by what it knows of the list. */
  canIssue(knowledge: ListKnowledge): boolean {
    const { now, currentAt } = knowledge;
    if (this.isAfterFounding(currentAt)) return true;
    switch (this.role) {
      case "founder":
        return currentAt !== undefined && now - currentAt < maxFoundingListAgeMs;
      case "listedBefore":
        return true;
      case "newcomer":
        return false;
    }
  }

  private noteOwnEntry({ now, wasFirstListEmpty }: ListKnowledge): void {
    if (this.ownListedAt !== undefined) return;
    this.ownListedAt = now;
    if (this.listed === undefined) this.role = "listedBefore";
    else if (wasFirstListEmpty && now - this.createdAt <= foundingMs) this.role = "founder";
  }

  /** Whether a list of that time includes all founders. */
  private isAfterFounding(listedAt: number | undefined): boolean {
    if (this.ownListedAt === undefined || listedAt === undefined) return false;
    return listedAt >= this.ownListedAt + foundingMs;
  }

  /**
   * From when on a proxy counts that the list before did not include. It may have been added right after that list, long
   * ago if this process was cut off since, and may be a founder.
   */
  private findStartOfNew(vm: string, now: number): number {
    if (vm === this.vm) return now + (this.role === "founder" ? founderIssueDelayMs : issueDelayMs);
    const { confirmedAt } = this;
    if (confirmedAt === undefined || !this.isAfterFounding(confirmedAt)) return now;
    return confirmedAt + countDelayMs;
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
