import { rateEvents } from "../log/events/rates.js";
import type { Logger } from "../log/index.js";
import type { Clock, Disposable, Random, Team, TeamRate } from "../model/index.js";
import {
  unlimitedReservation,
  type RateClaim,
  type RateLimiter,
  type RateReservation,
} from "./limiter.js";
import { toTokenRate, type RateBounds } from "./limits.js";
import { TokenPool, type TokenGrant } from "./pool.js";
import { countIssuers } from "./shares.js";

/** What keeping teams to their rates needs of the world. */
export interface RateLimiterPorts {
  readonly clock: Pick<Clock, "now">;
  readonly random: Random;
  readonly logger: Logger;
  readonly bounds: RateBounds;
  /** The team as the configuration in force has it. */
  readonly findTeam: (name: string) => Team | undefined;
  /** This process's share of a team's rate, of which `makers` proxies make tokens. */
  readonly findShare: (team: string, makers: number) => number;
  /** Other proxies that make a team's tokens. */
  readonly listIssuers: (team: string, makers: number) => readonly string[];
  /** Asks another proxy for tokens of a team; nothing where it does not answer. */
  readonly requestTokens: (
    peer: string,
    team: string,
    wanted: number,
  ) => Promise<TokenGrant | undefined>;
  /** Whether the process stood still at some time since, unseen by its steady clock. */
  readonly hasStalledSince: (time: number) => boolean;
}

/** Proxies that are asked together, one round after the other, before a team counts as having none left. */
const askedAtOnce: readonly number[] = [2, 4];
/** A team that has none left anywhere is asked for again after this, and each time after twice as long. */
const firstEmptyMs = 50;
const longestEmptyMs = 400;
/**
 * Questions of this process in one second at most: with many teams short at once, as after a loss of power,
 * all proxies would spend their time on asking one another for what nobody has.
 */
const maxAsksPerSecond = 120;
/** What is likely to be used within this is kept from others, in milliseconds. */
const keptMs = 500;
/**
 * What is likely to be used within this, and within half a token's life, is asked for at once, in milliseconds:
 * a team whose callers come to few proxies would have to ask for each operation otherwise.
 */
const wantedMs = 3000;
/** What is expected of a team halves in this time, in milliseconds. */
const halfLifeMs = 1000;
/** Callers that are refused are told to come back one token after the other, but no later than this. */
const longestBackMs = 5000;

interface TeamState {
  readonly purse: TokenPool;
  /** By which its tokens were made last, and at what share of it. */
  rate: TeamRate | undefined;
  share: number;
  /** Operations in the last second or so, decaying, as of `pacedAt`. */
  pace: number;
  pacedAt: number;
  /** Until then none is to be had elsewhere. */
  emptyUntil: number;
  emptyMs: number;
  /** Callers that were refused since there was one last. */
  refused: number;
  asking: Promise<void> | undefined;
}

/**
 * Keeps this process's operations within the tokens that it has. Where it has none it asks others, a few at a
 * time: no proxy is needed for it, so that none that is lost stops a team, and as long as the callers of a
 * team are spread like its tokens no message is sent at all.
 */
export class TokenRateLimiter implements RateLimiter, Disposable {
  private readonly teams = new Map<string, TeamState>();
  private askedSince = 0;
  private asked = 0;
  private isDisposed = false;

  constructor(private readonly ports: RateLimiterPorts) {}

  reserve(
    team: Team | undefined,
    deadlineAt: number,
    signal: AbortSignal,
  ): RateReservation | Promise<RateReservation> {
    if (team?.rate === undefined) return unlimitedReservation;
    const now = this.ports.clock.now();
    const state = this.open(team, now);
    notePace(state, now);
    const claim = this.takeClaim(team, state, now);
    if (claim !== undefined) return claim;
    if (now < state.emptyUntil || !this.canAsk(now)) return this.refuse(team, state, now);
    return this.collect(team, state, deadlineAt, signal);
  }

  /** Gives tokens of a team away to another process, beyond what is likely to be used here. */
  grantTokens(name: string, wanted: number): TokenGrant {
    const { clock, findTeam } = this.ports;
    const team = findTeam(name);
    if (team?.rate === undefined || this.isDisposed) return { tokens: 0, lifeMs: 0 };
    const now = clock.now();
    const state = this.open(team, now);
    const kept = estimateUse(state, now, keptMs);
    const spare = Math.max(0, state.purse.count(now) - kept);
    return state.purse.withdraw(Math.min(wanted, spare), now);
  }

  /**
   * Follows the teams of the configuration and this process's shares of their rates; what is due by those
   * before is made first. Tokens are made from a team's first sight on, whether it has callers here or not.
   */
  update(teams: readonly Team[]): void {
    const now = this.ports.clock.now();
    const bound = teams.filter(({ rate }) => rate !== undefined);
    const names = new Set(bound.map(({ name }) => name));
    for (const name of this.teams.keys()) if (!names.has(name)) this.teams.delete(name);
    for (const team of bound) this.follow(team, this.open(team, now), now);
  }

  /** Drops what is held: the process stood still for a time that its clock does not show. */
  dropTokens(): void {
    const now = this.ports.clock.now();
    for (const { purse } of this.teams.values()) purse.clear(now);
  }

  dispose(): void {
    this.isDisposed = true;
  }

  private open(team: Team, now: number): TeamState {
    const known = this.teams.get(team.name);
    if (known !== undefined) {
      this.make(known, now);
      if (known.rate !== team.rate) this.follow(team, known, now);
      return known;
    }
    const state = makeState(now);
    this.teams.set(team.name, state);
    this.follow(team, state, now);
    return state;
  }

  /** Takes over what holds for a team from now on. */
  private follow({ name, rate }: Team, state: TeamState, now: number): void {
    this.make(state, now);
    // What was made by a greater rate would come on top of all that the smaller one allows.
    if (isLower(rate, state.rate)) state.purse.clear(now);
    state.rate = rate;
    state.share = this.ports.findShare(name, this.countMakers(rate));
  }

  private make({ purse, rate, share }: TeamState, now: number): void {
    if (rate !== undefined) purse.issue(toTokenRate(rate, this.ports.bounds), share, now);
  }

  private countMakers(rate: TeamRate | undefined): number {
    if (rate === undefined) return 0;
    const { perSecond, lifeMs } = toTokenRate(rate, this.ports.bounds);
    return countIssuers((perSecond * lifeMs) / 1000);
  }

  private takeClaim(team: Team, state: TeamState, now: number): RateReservation | undefined {
    const until = state.purse.take(now);
    if (until === undefined) return undefined;
    state.refused = 0;
    return { type: "granted", claim: this.createClaim(state, until, now) };
  }

  private canAsk(now: number): boolean {
    if (now - this.askedSince >= 1000) {
      this.askedSince = now;
      this.asked = 0;
    }
    return this.asked < maxAsksPerSecond;
  }

  /** Asks others until there is a token, or a few have none. */
  private async collect(
    team: Team,
    state: TeamState,
    deadlineAt: number,
    gone: AbortSignal,
  ): Promise<RateReservation> {
    const { clock } = this.ports;
    state.asking ??= this.askOthers(team, state).finally(() => (state.asking = undefined));
    await state.asking;
    const now = clock.now();
    const isLate = now >= deadlineAt || gone.aborted;
    const claim = isLate ? undefined : this.takeClaim(team, this.open(team, now), now);
    return claim ?? this.refuse(team, state, now);
  }

  private async askOthers(team: Team, state: TeamState): Promise<void> {
    const { clock, random, listIssuers: listMakers } = this.ports;
    const peers = [...listMakers(team.name, this.countMakers(team.rate))];
    for (const count of askedAtOnce) {
      const chosen: string[] = [];
      while (chosen.length < count && peers.length > 0) {
        chosen.push(...peers.splice(Math.floor(random.draw() * peers.length), 1));
      }
      await Promise.all(chosen.map((peer) => this.askOne(peer, team, state)));
      if (state.purse.count(clock.now()) >= 1) {
        state.emptyMs = firstEmptyMs;
        return;
      }
    }
    state.emptyUntil = clock.now() + state.emptyMs;
    state.emptyMs = Math.min(longestEmptyMs, state.emptyMs * 2);
  }

  private async askOne(peer: string, team: Team, state: TeamState): Promise<void> {
    const { clock, requestTokens: ask, bounds } = this.ports;
    const askedAt = clock.now();
    this.asked += 1;
    const parcel = await ask(
      peer,
      team.name,
      1 + estimateUse(state, askedAt, findWantedMs(team, bounds)),
    );
    // Their life counts from the question on: how long its way took is not known.
    if (parcel !== undefined && parcel.tokens > 0) {
      state.purse.add(parcel.tokens, askedAt + parcel.lifeMs);
    }
  }

  private createClaim(state: TeamState, firstUntil: number, reservedAt: number): RateClaim {
    const { clock, hasStalledSince } = this.ports;
    let until = firstUntil;
    let phase: "reserved" | "used" | "ended" = "reserved";
    return {
      consume: () => {
        const now = clock.now();
        if (phase === "ended") return false;
        const hasLapsed = now >= until || hasStalledSince(reservedAt);
        // A try before this one may have run: this one counts as well. What has waited for longer than its
        // token lives takes another one; refused, it would have waited in vain.
        if (phase === "used" || hasLapsed) {
          this.make(state, now);
          const next = state.purse.take(now);
          if (next === undefined) return false;
          until = next;
        }
        phase = "used";
        return true;
      },
      noteNotRun: () => {
        if (phase === "used") phase = "reserved";
      },
      release: () => {
        if (phase === "reserved" && !hasStalledSince(reservedAt)) state.purse.add(1, until);
        phase = "ended";
      },
    };
  }

  private refuse(team: Team, state: TeamState, now: number): RateReservation {
    const perSecond = team.rate?.perSecond ?? 0;
    const eachMs = perSecond > 0 ? 1000 / perSecond : longestBackMs;
    const missing = Math.max(0, 1 - state.purse.count(now));
    const retryAfterMs = Math.min(longestBackMs, (missing + state.refused) * eachMs);
    state.refused += 1;
    this.ports.logger.write(rateEvents.overRate, { team: team.name, retryAfterMs });
    return { type: "refused", reason: "the team is over its rate", retryAfterMs };
  }
}

function makeState(now: number): TeamState {
  return {
    purse: new TokenPool(now),
    rate: undefined,
    share: 0,
    pace: 0,
    pacedAt: now,
    emptyUntil: 0,
    emptyMs: firstEmptyMs,
    refused: 0,
    asking: undefined,
  };
}

function isLower(rate: TeamRate | undefined, before: TeamRate | undefined): boolean {
  if (before === undefined || rate === undefined) return false;
  return rate.perSecond < before.perSecond || rate.burst < before.burst;
}

function notePace(state: TeamState, now: number): void {
  state.pace = measurePace(state, now) + 1;
  state.pacedAt = now;
}

function measurePace({ pace, pacedAt }: TeamState, now: number): number {
  return pace * 2 ** (-(now - pacedAt) / halfLifeMs);
}

function findWantedMs({ rate }: Team, bounds: RateBounds): number {
  return rate === undefined ? 0 : Math.min(wantedMs, toTokenRate(rate, bounds).lifeMs / 2);
}

/** Operations that are likely to come within a time ahead. */
function estimateUse(state: TeamState, now: number, aheadMs: number): number {
  // A steady pace of one a second adds up to the half-life over the logarithm of two.
  const perMs = (measurePace(state, now) * Math.LN2) / halfLifeMs;
  return perMs * aheadMs;
}
