import type { ServingConfig, TeamRoster } from "../direct/index.js";
import type { DirectPeerClient } from "../directpeer/index.js";
import type { LeadershipKeeper, Proxy } from "../leadership/index.js";
import type { Logger } from "../log/index.js";
import type { Clock, Disposable, Random } from "../model/index.js";
import {
  knownMs,
  RateKeeper,
  ShareHistory,
  type Parcel,
  type RateGate,
  type Sharer,
} from "../rates/index.js";
import type { ProxyRegistry } from "./proxy-registry.js";
import type { NodeSettings } from "./settings.js";

/** A peer answers in 1 to 3 ms; behind one that is cut off an operation would wait in vain. */
const tokenRequestTimeoutMs = 50;
/** In cores; what one has that does not say. */
const minPower = 0.3;
/** A peer that did not answer is not asked again for this long, in milliseconds: about as long as cuts last. */
const avoidMs = 5000;

/** What a node's part in keeping teams to their rates needs. */
export interface NodeRatesPorts {
  readonly settings: Pick<NodeSettings, "vm" | "peers" | "rateBounds">;
  readonly peers: Pick<DirectPeerClient, "takeTokens">;
  readonly tracker: Pick<LeadershipKeeper, "confirmedAt" | "hasStalledSince">;
  readonly getRegistry: () => Pick<ProxyRegistry, "list">;
  /** When the question was sent whose answer showed the list of proxies to be current. */
  readonly findPolledAt: () => number | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly getServingConfig: () => ServingConfig;
}

/** A node's part in keeping teams to their rates: its share of them, and tokens to and from its peers. */
export class NodeRates implements Disposable {
  private readonly tokenLimiter: RateKeeper;
  private readonly shares: ShareHistory;
  private listedProxies: readonly Proxy[] = [];
  private lastRoster: TeamRoster | undefined;
  private couldIssue = false;
  /** When this process last knew that it is listed, and that nobody has missed it. */
  private knownListedAt: number | undefined;
  private isStopped = false;
  private readonly avoidedUntil = new Map<string, number>();

  constructor(private readonly ports: NodeRatesPorts) {
    const { settings, tracker, clock, random, logger, getServingConfig } = ports;
    this.shares = new ShareHistory(settings.vm);
    this.tokenLimiter = new RateKeeper({
      clock,
      random,
      logger,
      bounds: settings.rateBounds,
      findTeam: (name) => getServingConfig().roster?.findByName(name),
      findShare: (team, makers) => this.findShare(team, makers),
      listMakers: (team, makers) => this.listIssuers(team, makers),
      ask: (peer, team, wanted) => this.requestTokens(peer, team, wanted),
      hasStalledSince: (time) => tracker.hasStalledSince(time),
    });
  }

  get limiter(): RateGate {
    return this.tokenLimiter;
  }

  /** Follows teams, the list of proxies, and who counts among them as time goes on. */
  refresh(): void {
    const { getServingConfig, getRegistry, clock } = this.ports;
    const { roster } = getServingConfig();
    if (roster?.hasRates !== true) return;
    const hasListing = this.updateProxies(getRegistry().list());
    this.refreshOwnEntry();
    const hasSettled = this.shares.settle(clock.now());
    const canMake = this.canIssue();
    const hasTurned = canMake !== this.couldIssue || roster !== this.lastRoster;
    this.couldIssue = canMake;
    this.lastRoster = roster;
    if (hasListing || hasSettled || hasTurned) this.tokenLimiter.update(roster.teams);
  }

  /** Makes no more tokens: this process is about to take itself off the list. */
  stop(): void {
    this.isStopped = true;
    this.refresh();
  }

  /** Gives tokens of a team to a peer. */
  grantTokens(team: string, wanted: number): Parcel {
    return this.tokenLimiter.give(team, wanted);
  }

  /** Drops what is held: the process stood still for a time that its clock does not show. */
  handleStall(): void {
    this.tokenLimiter.clear();
  }

  dispose(): void {
    this.tokenLimiter.dispose();
  }

  private updateProxies(proxies: readonly Proxy[]): boolean {
    if (proxies === this.listedProxies) return false;
    this.listedProxies = proxies;
    this.shares.note(proxies.map(toWeightedProxy), this.ports.clock.now());
    return true;
  }

  private refreshOwnEntry(): void {
    const { settings, tracker, findPolledAt } = this.ports;
    const own = this.listedProxies.find(({ vm }) => vm === settings.vm);
    if (own === undefined || own.isMissed === true) return;
    const times = [this.knownListedAt, findPolledAt(), tracker.confirmedAt];
    const known = times.filter((time) => time !== undefined);
    this.knownListedAt = known.length === 0 ? undefined : Math.max(...known);
  }

  private findShare(team: string, makers: number): number {
    if (this.ports.settings.peers === undefined) return 1;
    return this.canIssue() ? this.shares.findShare(team, makers) : 0;
  }

  /** Not once its entry may have been removed: the others have taken its part over. */
  private canIssue(): boolean {
    const { settings, tracker, clock } = this.ports;
    const { knownListedAt: knownAt } = this;
    if (this.isStopped || knownAt === undefined || tracker.hasStalledSince(knownAt)) return false;
    const isListed = this.listedProxies.some(({ vm }) => vm === settings.vm);
    return isListed && clock.now() - knownAt < knownMs;
  }

  /** Those that answered lately, and not this one. */
  private listIssuers(team: string, makers: number): readonly string[] {
    const now = this.ports.clock.now();
    const { vm: own } = this.ports.settings;
    const known = this.shares.listMakers(team, makers);
    return known.filter((vm) => vm !== own && now >= (this.avoidedUntil.get(vm) ?? 0));
  }

  private async requestTokens(
    vm: string,
    team: string,
    wanted: number,
  ): Promise<Parcel | undefined> {
    const { peers, getRegistry, clock } = this.ports;
    const proxy = getRegistry()
      .list()
      .find((listed) => listed.vm === vm);
    if (proxy === undefined) return undefined;
    const parcel = await peers.takeTokens(proxy, { team, wanted }, tokenRequestTimeoutMs);
    if (parcel === undefined) this.avoidedUntil.set(vm, clock.now() + avoidMs);
    return parcel;
  }
}

/** A strong machine is a gateway of many groups, and most statements are sent from there. */
function toWeightedProxy({ vm, power }: Proxy): Sharer {
  return { vm, weight: Math.max(minPower, power ?? 0) ** 2 };
}
