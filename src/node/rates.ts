import type { ServingConfig, TeamRoster } from "../direct/index.js";
import type { DirectPeerClient, TokenRequest } from "../directpeer/index.js";
import type { LeadershipTracker, Proxy } from "../leadership/index.js";
import type { Logger } from "../log/index.js";
import type { Clock, Disposable, Random } from "../model/index.js";
import {
  maxListingAgeMs,
  TokenRateLimiter,
  RateShares,
  type ListKnowledge,
  type TokenGrant,
  type RateLimiter,
  type TokenIssuers,
  type WeightedProxy,
} from "../rates/index.js";
import { assumedCrossingMs } from "../topology/index.js";
import type { Forwarding } from "./forwarding.js";
import type { ProxyRegistry } from "./proxy-registry.js";
import type { NodeSettings } from "./settings.js";

/**
 * In milliseconds. The operations that wait for the answer give up earlier; one that comes later than that
 * still brings tokens for those that follow.
 */
const tokenRequestTimeoutMs = 1000;
/** A peer that takes longer to answer counts as silent until it does, in milliseconds. */
const silentAfterMs = 50;
/** The capacity in cores that a proxy is counted with at least. */
const minPower = 0.3;
/** A silent peer is asked last for this long, in milliseconds: about as long as partitions last. */
const silentForMs = 5000;

/** The dependencies of `NodeRates`. */
export interface NodeRatesPorts {
  readonly settings: Pick<NodeSettings, "vm" | "dataCentre" | "topology" | "peers" | "rateBounds">;
  readonly peers: Pick<DirectPeerClient, "takeTokens">;
  readonly gateways: Pick<Forwarding, "requestTokens">;
  readonly tracker: Pick<LeadershipTracker, "confirmedAt" | "hasStalledSince">;
  readonly getRegistry: () => Pick<ProxyRegistry, "list" | "wasFirstListEmpty">;
  /** When the poll was sent whose answer showed that the list of proxies is current. */
  readonly findPolledAt: () => number | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly getServingConfig: () => ServingConfig;
}

/** Limits the teams' operations at this node: its share of each rate, and tokens exchanged with peers. */
export class NodeRates implements Disposable {
  private readonly tokenLimiter: TokenRateLimiter;
  private readonly shares: RateShares;
  private listedProxies: readonly Proxy[] = [];
  /** The listed proxies of this region. */
  private nearProxies: ReadonlySet<string> = new Set();
  private lastRoster: TeamRoster | undefined;
  private couldIssue = false;
  /** When this process last knew that it is listed and not marked as missed. */
  private knownListedAt: number | undefined;
  private isStopped = false;
  private readonly silentUntil = new Map<string, number>();

  constructor(private readonly ports: NodeRatesPorts) {
    const { settings, tracker, clock, random, logger, getServingConfig } = ports;
    this.shares = new RateShares(settings.vm, clock.now());
    this.tokenLimiter = new TokenRateLimiter({
      clock,
      random,
      logger,
      bounds: settings.rateBounds,
      findTeam: (name) => getServingConfig().roster?.findByName(name),
      findShare: (team, issuers) => this.findShare(team, issuers),
      listIssuers: (team, issuers) => this.listIssuers(team, issuers),
      requestTokens: (peer, team, wanted) => this.requestTokens(peer, team, wanted),
      hasStalledSince: (time) => tracker.hasStalledSince(time),
    });
  }

  get limiter(): RateLimiter {
    return this.tokenLimiter;
  }

  /** Updates the shares after changes of the teams or the proxies, and as registrations come of age. */
  refresh(): void {
    const { getServingConfig, getRegistry, clock } = this.ports;
    const { roster } = getServingConfig();
    if (roster?.hasRates !== true) return;
    const hasNewListing = this.updateProxies(getRegistry().list());
    this.shares.confirmList(this.ports.findPolledAt());
    this.refreshOwnEntry();
    const hasNewShares = this.shares.refresh(clock.now());
    const canIssue = this.canIssue();
    const hasChanged = canIssue !== this.couldIssue || roster !== this.lastRoster;
    this.couldIssue = canIssue;
    this.lastRoster = roster;
    if (hasNewListing || hasNewShares || hasChanged) this.tokenLimiter.update(roster.teams);
  }

  /** Stops issuing tokens, since this process is about to deregister. */
  stop(): void {
    this.isStopped = true;
    this.refresh();
  }

  /** Transfers tokens of a team to a peer. */
  grantTokens(team: string, wanted: number): TokenGrant {
    return this.tokenLimiter.grantTokens(team, wanted);
  }

  /** Drops all tokens: the process was suspended for a time that its clock does not show. */
  handleStall(): void {
    this.tokenLimiter.dropTokens();
  }

  dispose(): void {
    this.tokenLimiter.dispose();
  }

  private updateProxies(proxies: readonly Proxy[]): boolean {
    if (proxies === this.listedProxies) return false;
    this.listedProxies = proxies;
    this.nearProxies = new Set(this.listNear(proxies));
    this.shares.updateProxies(proxies.map(toWeightedProxy), this.describeList());
    return true;
  }

  private describeList(): ListKnowledge {
    const { clock, findPolledAt, getRegistry } = this.ports;
    const { wasFirstListEmpty } = getRegistry();
    return { now: clock.now(), currentAt: findPolledAt(), wasFirstListEmpty };
  }

  private refreshOwnEntry(): void {
    const { settings, tracker, findPolledAt } = this.ports;
    const own = this.listedProxies.find(({ vm }) => vm === settings.vm);
    if (own === undefined || own.isMissed === true) return;
    const times = [this.knownListedAt, findPolledAt(), tracker.confirmedAt];
    const known = times.filter((time) => time !== undefined);
    this.knownListedAt = known.length === 0 ? undefined : Math.max(...known);
  }

  private findShare(team: string, issuers: number): number {
    if (this.ports.settings.peers === undefined) return 1;
    return this.canIssue() ? this.shares.findShare(team, issuers) : 0;
  }

  /** Whether this node may issue tokens. Once its entry may have been removed, others issue its share. */
  private canIssue(): boolean {
    const { settings, tracker, clock } = this.ports;
    const { knownListedAt } = this;
    if (this.isStopped || knownListedAt === undefined || tracker.hasStalledSince(knownListedAt))
      return false;
    const isListed = this.listedProxies.some(({ vm }) => vm === settings.vm);
    if (!isListed || clock.now() - knownListedAt >= maxListingAgeMs) return false;
    return this.shares.canIssue(this.describeList());
  }

  /** The other nodes that issue the team's tokens. */
  private listIssuers(team: string, issuers: number): TokenIssuers {
    const now = this.ports.clock.now();
    const { vm: own } = this.ports.settings;
    const names = this.shares.listIssuers(team, issuers).filter((vm) => vm !== own);
    const isSilent = (vm: string) => now < (this.silentUntil.get(vm) ?? 0);
    const responsive = names.filter((vm) => !isSilent(vm));
    return {
      responsive: responsive.filter((vm) => !this.isRemote(vm)),
      remote: responsive.filter((vm) => this.isRemote(vm)),
      silent: names.filter(isSilent),
    };
  }

  private listNear(proxies: readonly Proxy[]): readonly string[] {
    const { topology, dataCentre } = this.ports.settings;
    return proxies
      .filter((proxy) => topology.measureDistance(dataCentre, proxy.dataCentre ?? "") !== "remote")
      .map(({ vm }) => vm);
  }

  private isRemote(vm: string): boolean {
    return this.ports.settings.topology.hasRegions && !this.nearProxies.has(vm);
  }

  private async requestTokens(
    vm: string,
    team: string,
    wanted: number,
  ): Promise<TokenGrant | undefined> {
    const proxy = this.listedProxies.find((listed) => listed.vm === vm);
    if (proxy === undefined) return undefined;
    const answerMs = silentAfterMs + (this.isRemote(vm) ? assumedCrossingMs : 0);
    const timer = setTimeout(() => this.noteSilence(vm), answerMs);
    const grant = await this.takeTokens(proxy, { team, wanted });
    clearTimeout(timer);
    if (grant === undefined) this.noteSilence(vm);
    else this.silentUntil.delete(vm);
    return grant;
  }

  private async takeTokens(proxy: Proxy, request: TokenRequest): Promise<TokenGrant | undefined> {
    const { peers, gateways } = this.ports;
    const result = await gateways.requestTokens(proxy, request, tokenRequestTimeoutMs);
    switch (result.type) {
      case "granted":
        return result.grant;
      case "silent":
        return undefined;
      case "unsupported":
        return peers.takeTokens(proxy, request, tokenRequestTimeoutMs);
    }
  }

  private noteSilence(vm: string): void {
    this.silentUntil.set(vm, this.ports.clock.now() + silentForMs);
  }
}

/** Squares the capacity: a powerful machine is a gateway of many groups and sends most statements. */
function toWeightedProxy({ vm, power }: Proxy): WeightedProxy {
  return { vm, weight: Math.max(minPower, power ?? 0) ** 2 };
}
