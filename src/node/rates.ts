import type { Scene, TeamRoster } from "../direct/index.js";
import type { DirectPeerClient } from "../directpeer/index.js";
import type { LeadershipKeeper, Proxy } from "../leadership/index.js";
import type { Logger } from "../log/index.js";
import type { Clock, Disposable, Random } from "../model/index.js";
import {
  maxListingAgeMs,
  TokenRateLimiter,
  RateShares,
  type TokenGrant,
  type RateLimiter,
  type WeightedProxy,
} from "../rates/index.js";
import type { Members } from "./members.js";
import type { NodeSettings } from "./settings.js";

/** A peer answers in 1 to 3 ms; behind one that is cut off an operation would wait in vain. */
const askTimeoutMs = 50;
/** In cores; what one has that does not say. */
const leastPower = 0.3;
/** A peer that did not answer is not asked again for this long, in milliseconds: about as long as cuts last. */
const passOverMs = 5000;

/** What a node's part in keeping teams to their rates needs. */
export interface NodeRatesPorts {
  readonly settings: Pick<NodeSettings, "vm" | "peers" | "rateBounds">;
  readonly peers: Pick<DirectPeerClient, "takeTokens">;
  readonly keeper: Pick<LeadershipKeeper, "confirmedAt" | "hasStalledSince">;
  readonly members: () => Pick<Members, "list">;
  /** When the question was sent whose answer showed the list of proxies to be current. */
  readonly findLookedAt: () => number | undefined;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly scene: () => Scene;
}

/** A node's part in keeping teams to their rates: its share of them, and tokens to and from its peers. */
export class NodeRates implements Disposable {
  private readonly rateKeeper: TokenRateLimiter;
  private readonly history: RateShares;
  private listed: readonly Proxy[] = [];
  private seenRoster: TeamRoster | undefined;
  private couldMake = false;
  /** When this process last knew that it is listed, and that nobody has missed it. */
  private knownAt: number | undefined;
  private isStopped = false;
  private readonly passedOverUntil = new Map<string, number>();

  constructor(private readonly ports: NodeRatesPorts) {
    const { settings, keeper, clock, random, logger, scene } = ports;
    this.history = new RateShares(settings.vm);
    this.rateKeeper = new TokenRateLimiter({
      clock,
      random,
      logger,
      bounds: settings.rateBounds,
      findTeam: (name) => scene().roster?.findByName(name),
      findShare: (team, makers) => this.findShare(team, makers),
      listIssuers: (team, makers) => this.listMakers(team, makers),
      requestTokens: (peer, team, wanted) => this.ask(peer, team, wanted),
      hasStalledSince: (time) => keeper.hasStalledSince(time),
    });
  }

  get gate(): RateLimiter {
    return this.rateKeeper;
  }

  /** Follows teams, the list of proxies, and who counts among them as time goes on. */
  look(): void {
    const { scene, members, clock } = this.ports;
    const { roster } = scene();
    if (roster?.hasRates !== true) return;
    const hasListing = this.noteListed(members().list());
    this.noteOwnEntry();
    const hasSettled = this.history.refresh(clock.now());
    const canMake = this.canMake();
    const hasTurned = canMake !== this.couldMake || roster !== this.seenRoster;
    this.couldMake = canMake;
    this.seenRoster = roster;
    if (hasListing || hasSettled || hasTurned) this.rateKeeper.update(roster.teams);
  }

  /** Makes no more tokens: this process is about to take itself off the list. */
  stop(): void {
    this.isStopped = true;
    this.look();
  }

  /** Gives tokens of a team to a peer. */
  give(team: string, wanted: number): TokenGrant {
    return this.rateKeeper.grantTokens(team, wanted);
  }

  /** Drops what is held: the process stood still for a time that its clock does not show. */
  noteStall(): void {
    this.rateKeeper.dropTokens();
  }

  dispose(): void {
    this.rateKeeper.dispose();
  }

  private noteListed(proxies: readonly Proxy[]): boolean {
    if (proxies === this.listed) return false;
    this.listed = proxies;
    this.history.updateProxies(proxies.map(toSharer), this.ports.clock.now());
    return true;
  }

  private noteOwnEntry(): void {
    const { settings, keeper, findLookedAt } = this.ports;
    const own = this.listed.find(({ vm }) => vm === settings.vm);
    if (own === undefined || own.isMissed === true) return;
    const times = [this.knownAt, findLookedAt(), keeper.confirmedAt];
    const known = times.filter((time) => time !== undefined);
    this.knownAt = known.length === 0 ? undefined : Math.max(...known);
  }

  private findShare(team: string, makers: number): number {
    if (this.ports.settings.peers === undefined) return 1;
    return this.canMake() ? this.history.findShare(team, makers) : 0;
  }

  /** Not once its entry may have been removed: the others have taken its part over. */
  private canMake(): boolean {
    const { settings, keeper, clock } = this.ports;
    const { knownAt } = this;
    if (this.isStopped || knownAt === undefined || keeper.hasStalledSince(knownAt)) return false;
    const isListed = this.listed.some(({ vm }) => vm === settings.vm);
    return isListed && clock.now() - knownAt < maxListingAgeMs;
  }

  /** Those that answered lately, and not this one. */
  private listMakers(team: string, makers: number): readonly string[] {
    const now = this.ports.clock.now();
    const { vm: own } = this.ports.settings;
    const known = this.history.listIssuers(team, makers);
    return known.filter((vm) => vm !== own && now >= (this.passedOverUntil.get(vm) ?? 0));
  }

  private async ask(vm: string, team: string, wanted: number): Promise<TokenGrant | undefined> {
    const { peers, members, clock } = this.ports;
    const proxy = members()
      .list()
      .find((listed) => listed.vm === vm);
    if (proxy === undefined) return undefined;
    const parcel = await peers.takeTokens(proxy, { team, wanted }, askTimeoutMs);
    if (parcel === undefined) this.passedOverUntil.set(vm, clock.now() + passOverMs);
    return parcel;
  }
}

/** A strong machine is a gateway of many groups, and most statements are sent from there. */
function toSharer({ vm, power }: Proxy): WeightedProxy {
  return { vm, weight: Math.max(leastPower, power ?? 0) ** 2 };
}
