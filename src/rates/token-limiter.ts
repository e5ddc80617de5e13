import { rateEvents } from "../log/events/rates.js";
import type { Logger } from "../log/index.js";
import type { Clock, Disposable, Random, Team, TeamRate } from "../model/index.js";
import { assumedCrossingMs } from "../topology/index.js";
import { orderIssuers, type TokenIssuers } from "./issuers.js";
import {
  unlimitedReservation,
  type RateClaim,
  type RateLimiter,
  type RateReservation,
} from "./limiter.js";
import { toTokenRate, type RateBounds } from "./limits.js";
import { listGrantedBatches, TokenPool, type TokenGrant } from "./pool.js";
import { RequestBudget } from "./request-budget.js";
import { TokenRequestRound } from "./request-round.js";
import { countIssuers } from "./shares.js";

/** The environment of a `TokenRateLimiter`. */
export interface RateLimiterPorts {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly bounds: RateBounds;
  /** The team in the current configuration. */
  readonly findTeam: (name: string) => Team | undefined;
  /** This process's share of a team's rate, from 0 to 1, when `issuers` proxies issue its tokens. */
  readonly findShare: (team: string, issuers: number) => number;
  /** Other proxies that issue a team's tokens. */
  readonly listIssuers: (team: string, issuers: number) => TokenIssuers;
  /** Requests tokens of a team from another proxy; undefined when it does not answer. */
  readonly requestTokens: (
    peer: string,
    team: string,
    wanted: number,
  ) => Promise<TokenGrant | undefined>;
  /** Whether the process was suspended at some point since `time`, which its steady clock does not show. */
  readonly hasStalledSince: (time: number) => boolean;
}

/** Peers that are asked in parallel in each round; after the last round the team counts as out of tokens. */
const peersPerRound: readonly number[] = [2, 4];
/** The next round starts after this time even if peers have not answered yet, in milliseconds. */
const roundMs = 50;
/**
 * How long operations wait for peers that have not answered, in milliseconds. A peer whose processor is busy
 * answers late. If its answer were not awaited, teams within their rate would be refused whenever the
 * processors are busy; callers of unreachable peers wait for no longer than this.
 */
const maxTokenWaitMs = 300;
/** A team without tokens anywhere is asked for again after this time, which doubles with each failure. */
const initialBackoffMs = 50;
/** The longest such time while all peers answer: they issue new tokens all the time. */
const maxBackoffMs = 400;
/** The longest such time while peers do not answer, as their processors may be busy with just such requests. */
const maxSilentBackoffMs = 1600;
/** Sums of fractions of tokens fall short of whole ones by less than this. */
const roundingError = 1e-6;
/** Tokens for the expected demand of this time ahead are not given to other proxies, in milliseconds. */
const retainHorizonMs = 500;
/** With less expected demand, in operations, a proxy has no callers of the team. */
const negligibleDemand = 0.01;
/**
 * A request asks for the expected demand of this time ahead, in milliseconds, but of no more than half a
 * token's life. Otherwise a team whose callers use few proxies would need one request for each operation.
 */
const requestHorizonMs = 3000;
/** The half-life of the measured demand of a team, in milliseconds. */
const demandHalfLifeMs = 1000;
/** Refused callers are told to retry one token interval after another, but no later than this. */
const maxRetryAfterMs = 5000;

/** What the last request of a team's tokens from other proxies came to. */
interface RequestOutcome {
  /** Issuers that could be asked, and those of them that had not answered lately. */
  readonly issuers: number;
  readonly silentIssuers: number;
  asked: number;
  answered: number;
  /** Proxies that had no token to spare. */
  empty: number;
}

/** Why no token was at hand when an operation was refused. */
type RefusalCause = "peersHadNone" | "backoff" | "requestLimit";

interface TeamState {
  readonly pool: TokenPool;
  /** The rate and the share at which tokens are issued now. */
  rate: TeamRate | undefined;
  share: number;
  /** Operations in about the last second, decaying exponentially, as of `demandAt`. */
  demand: number;
  demandAt: number;
  /** Until then other proxies are not asked, since none had tokens. */
  backoffUntil: number;
  backoffMs: number;
  /** Operations that were refused since the last one that was granted. */
  refusedCount: number;
  pendingRequest: Promise<void> | undefined;
  lastRequest: RequestOutcome | undefined;
}

/**
 * Limits this process's operations by the tokens that it holds. When it has none it requests some from a few
 * other proxies at a time. No particular proxy is needed, so that the loss of one stops no team. While a team's
 * callers are distributed like its tokens, no messages are sent at all.
 */
export class TokenRateLimiter implements RateLimiter, Disposable {
  private readonly teams = new Map<string, TeamState>();
  private readonly budget = new RequestBudget();
  private isDisposed = false;

  constructor(private readonly ports: RateLimiterPorts) {}

  reserve(
    team: Team | undefined,
    deadlineAt: number,
    signal: AbortSignal,
  ): RateReservation | Promise<RateReservation> {
    if (team?.rate === undefined) return unlimitedReservation;
    const now = this.ports.clock.now();
    const state = this.ensureState(team, now);
    const granted = this.tryReserve(team, state, now);
    if (granted !== undefined) return granted;
    if (now < state.backoffUntil) return this.refuse(team, state, now, "backoff");
    if (!this.budget.canRequest(team.name, now))
      return this.refuse(team, state, now, "requestLimit");
    return this.reserveFromPeers(team, state, deadlineAt, signal);
  }

  /** Transfers tokens of a team to another process, except those that are likely to be used here. */
  grantTokens(name: string, wanted: number): TokenGrant {
    const { clock, findTeam } = this.ports;
    const team = findTeam(name);
    if (team?.rate === undefined || this.isDisposed) return { tokens: 0, lifeMs: 0 };
    const now = clock.now();
    const state = this.ensureState(team, now);
    const retained = estimateDemand(state, now, retainHorizonMs);
    const spare = Math.max(0, state.pool.count(now) - retained);
    // Where the team has callers a fraction would be missing for a whole token. Elsewhere it would expire, while
    // the fractions of several proxies make up a token where they go.
    const isUnusedHere = retained < negligibleDemand;
    const granted = isUnusedHere ? spare : Math.floor(spare + roundingError);
    return state.pool.withdraw(Math.min(Math.floor(wanted), granted), now);
  }

  /**
   * Applies the teams of the configuration and this process's shares of their rates. Tokens that are due by the
   * previous rates and shares are issued first. Tokens of a team are issued as soon as the team is known here,
   * whether or not it has callers at this proxy.
   */
  update(teams: readonly Team[]): void {
    const now = this.ports.clock.now();
    const limited = teams.filter(({ rate }) => rate !== undefined);
    const names = new Set(limited.map(({ name }) => name));
    for (const name of this.teams.keys()) if (!names.has(name)) this.teams.delete(name);
    for (const team of limited) this.applyRate(team, this.ensureState(team, now), now);
  }

  /** Drops all tokens, for when the process was suspended for a time that its clock does not show. */
  dropTokens(): void {
    const now = this.ports.clock.now();
    for (const { pool } of this.teams.values()) pool.clear(now);
  }

  dispose(): void {
    this.isDisposed = true;
  }

  private ensureState(team: Team, now: number): TeamState {
    const known = this.teams.get(team.name);
    if (known !== undefined) {
      this.issue(known, now);
      if (known.rate !== team.rate) this.applyRate(team, known, now);
      return known;
    }
    const state = createState(now);
    this.teams.set(team.name, state);
    this.applyRate(team, state, now);
    return state;
  }

  /** Applies a team's rate and this process's share of it from now on. */
  private applyRate({ name, rate }: Team, state: TeamState, now: number): void {
    this.issue(state, now);
    // Tokens of a higher rate would come on top of all that the lower rate allows.
    if (isLower(rate, state.rate)) state.pool.clear(now);
    state.rate = rate;
    state.share = this.ports.findShare(name, this.countIssuers(rate));
  }

  private issue({ pool, rate, share }: TeamState, now: number): void {
    if (rate !== undefined) pool.issue(toTokenRate(rate, this.ports.bounds), share, now);
  }

  private countIssuers(rate: TeamRate | undefined): number {
    if (rate === undefined) return 0;
    const { perSecond, lifeMs } = toTokenRate(rate, this.ports.bounds);
    return countIssuers((perSecond * lifeMs) / 1000);
  }

  private tryReserve(team: Team, state: TeamState, now: number): RateReservation | undefined {
    const expiresAt = state.pool.take(now);
    if (expiresAt === undefined) return undefined;
    state.refusedCount = 0;
    // Refused operations come again as retries. If they counted, each process would ask for and keep many more
    // tokens than it can use, which expire there while other processes refuse the same team.
    recordDemand(state, now);
    return { type: "granted", claim: this.createClaim(state, expiresAt, now) };
  }

  /** Waits for a request to other proxies, which all waiting operations of the team share. */
  private async reserveFromPeers(
    team: Team,
    state: TeamState,
    deadlineAt: number,
    signal: AbortSignal,
  ): Promise<RateReservation> {
    const { clock } = this.ports;
    state.pendingRequest ??= this.requestFromPeers(team, state).finally(
      () => (state.pendingRequest = undefined),
    );
    await state.pendingRequest;
    const now = clock.now();
    const isLate = now >= deadlineAt || signal.aborted;
    const granted = isLate ? undefined : this.tryReserve(team, this.ensureState(team, now), now);
    return granted ?? this.refuse(team, state, now, "peersHadNone");
  }

  /** Asks randomly chosen issuers, round after round, until there is a token; then backs off. */
  private async requestFromPeers(team: Team, state: TeamState): Promise<void> {
    const { clock, random, listIssuers } = this.ports;
    const startedAt = clock.now();
    const issuers = listIssuers(team.name, this.countIssuers(team.rate));
    const { silent } = issuers;
    const peers = orderIssuers(issuers, random);
    const remote = new Set(issuers.remote);
    const outcome = {
      issuers: peers.length,
      silentIssuers: silent.length,
      asked: 0,
      answered: 0,
      empty: 0,
    };
    state.lastRequest = outcome;
    const round = new TokenRequestRound(() => state.pool.count(clock.now()) >= 1);
    for (const count of peersPerRound) {
      const asked = peers.splice(0, count);
      for (const peer of asked) round.add(this.requestFromPeer(peer, team, state, outcome));
      const crossesRegions = asked.some((peer) => remote.has(peer));
      await round.wait(clock.sleep(crossesRegions ? roundMs + assumedCrossingMs : roundMs));
      if (round.hasToken()) break;
    }
    if (!round.hasToken()) {
      await round.wait(clock.sleep(Math.max(0, startedAt + maxTokenWaitMs - clock.now())));
    }
    if (round.hasToken()) {
      state.backoffMs = initialBackoffMs;
      return;
    }
    const longestMs = outcome.answered === outcome.asked ? maxBackoffMs : maxSilentBackoffMs;
    state.backoffUntil = clock.now() + Math.min(state.backoffMs, longestMs);
    state.backoffMs = Math.min(longestMs, state.backoffMs * 2);
  }

  private async requestFromPeer(
    peer: string,
    team: Team,
    state: TeamState,
    outcome: RequestOutcome,
  ): Promise<void> {
    const { clock, requestTokens, bounds, hasStalledSince } = this.ports;
    const requestedAt = clock.now();
    this.budget.recordRequest(team.name, requestedAt);
    outcome.asked += 1;
    const grant = await requestTokens(
      peer,
      team.name,
      1 + estimateDemand(state, requestedAt, findRequestHorizonMs(team, bounds)),
    );
    if (grant === undefined) return;
    outcome.answered += 1;
    if (grant.tokens <= 0) {
      outcome.empty += 1;
      return;
    }
    this.budget.recordGrant(team.name, requestedAt, clock.now());
    // The life is counted from the request, since the time that the answer took is not known. After a
    // suspension, which the clock may not show, the tokens may have expired.
    if (hasStalledSince(requestedAt)) return;
    for (const { tokens, lifeMs } of listGrantedBatches(grant)) {
      state.pool.add(tokens, requestedAt + lifeMs);
    }
  }

  private createClaim(state: TeamState, firstExpiresAt: number, reservedAt: number): RateClaim {
    const { clock, hasStalledSince } = this.ports;
    let expiresAt = firstExpiresAt;
    let phase: "reserved" | "consumed" | "released" = "reserved";
    return {
      consume: () => {
        const now = clock.now();
        if (phase === "released") return false;
        const hasExpired = now >= expiresAt || hasStalledSince(reservedAt);
        // After an attempt that may have run, the next attempt counts as well. An operation that has waited
        // for longer than its token's life takes another token: if it were refused, it would have waited in vain.
        if (phase === "consumed" || hasExpired) {
          this.issue(state, now);
          const next = state.pool.take(now);
          if (next === undefined) return false;
          expiresAt = next;
        }
        phase = "consumed";
        return true;
      },
      noteNotRun: () => {
        if (phase === "consumed") phase = "reserved";
      },
      release: () => {
        if (phase === "reserved" && !hasStalledSince(reservedAt)) state.pool.add(1, expiresAt);
        phase = "released";
      },
    };
  }

  private refuse(team: Team, state: TeamState, now: number, cause: RefusalCause): RateReservation {
    const perSecond = team.rate?.perSecond ?? 0;
    const tokenIntervalMs = perSecond > 0 ? 1000 / perSecond : maxRetryAfterMs;
    const missing = Math.max(0, 1 - state.pool.count(now));
    const retryAfterMs = Math.min(
      maxRetryAfterMs,
      (missing + state.refusedCount) * tokenIntervalMs,
    );
    state.refusedCount += 1;
    const { share, lastRequest: request = null } = state;
    this.ports.logger.write(rateEvents.overRate, {
      team: team.name,
      retryAfterMs,
      cause,
      share,
      request: request === null ? null : { ...request },
    });
    return { type: "refused", reason: "the team is over its rate", retryAfterMs };
  }
}

function createState(now: number): TeamState {
  return {
    pool: new TokenPool(now),
    rate: undefined,
    share: 0,
    demand: 0,
    demandAt: now,
    backoffUntil: 0,
    backoffMs: initialBackoffMs,
    refusedCount: 0,
    pendingRequest: undefined,
    lastRequest: undefined,
  };
}

function isLower(rate: TeamRate | undefined, before: TeamRate | undefined): boolean {
  if (before === undefined || rate === undefined) return false;
  return rate.perSecond < before.perSecond || rate.burst < before.burst;
}

function recordDemand(state: TeamState, now: number): void {
  state.demand = measureDemand(state, now) + 1;
  state.demandAt = now;
}

function measureDemand({ demand, demandAt }: TeamState, now: number): number {
  return demand * 2 ** (-(now - demandAt) / demandHalfLifeMs);
}

function findRequestHorizonMs({ rate }: Team, bounds: RateBounds): number {
  return rate === undefined ? 0 : Math.min(requestHorizonMs, toTokenRate(rate, bounds).lifeMs / 2);
}

/** The operations that are expected in the next `aheadMs` milliseconds. */
function estimateDemand(state: TeamState, now: number, aheadMs: number): number {
  // At one operation per millisecond the decaying sum approaches the half-life divided by ln 2.
  const perMs = (measureDemand(state, now) * Math.LN2) / demandHalfLifeMs;
  return perMs * aheadMs;
}
