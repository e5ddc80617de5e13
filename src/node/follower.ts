import type { ServingConfig } from "../direct/index.js";
import type { DirectPeerClient } from "../directpeer/index.js";
import type { RouteTable } from "../feed/index.js";
import { countListedProxyQuota } from "../gateway/index.js";
import type { LeadershipAnswer, LeadershipTracker, Proxy } from "../leadership/index.js";
import { leadershipEvents } from "../log/events/leadership.js";
import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";
import type { Clock, Random, StoreRead } from "../model/index.js";
import { PeerConfirmer, peerTimeoutMs } from "./confirmer.js";
import { Members } from "./members.js";
import { findPace } from "./pace.js";
import type { NodeStore, StoreBeat } from "./ports.js";
import { ReaderClient, type ReaderLook } from "./reader.js";
import { SceneKeeper } from "./scene.js";
import type { NodeSettings } from "./settings.js";

/** Between two looks at the store of a process that is not listed, by half more or less; the seeds are asked meanwhile. */
const unlistedLookMs = 3000;
/** Looks are spread, so that the proxies' calls don't come together. */
const jitterShare = 0.1;

/** What is known of the store, and as of when; on this process's clock. */
export interface StoreSight {
  readonly revision: number;
  readonly askedAt: number;
}

/** What a follower needs. */
export interface FollowerPorts {
  readonly settings: NodeSettings;
  readonly store: NodeStore;
  readonly peers: DirectPeerClient;
  readonly keeper: LeadershipTracker;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly onScene: (scene: ServingConfig) => void;
  /** After each look, whatever it brought. */
  readonly onLook: () => void;
}

/**
 * Keeps a node in step with the platform's store by one cheap read at a steady pace. It confirms who
 * leads, and its revision tells whether anything else has changed, so that the configuration, the
 * targets and the proxies are read again only then. No watch can be cut off or fall silent unseen.
 */
export class StoreFollower {
  private readRevision: number | undefined;
  private isAway = false;
  private isStopped = false;
  private endRest: () => void = () => undefined;
  /** The proxies that share the store's groups, this one included. */
  readonly members: Members;
  private readonly keptScene: SceneKeeper;
  private readonly confirmer: PeerConfirmer;
  private readonly reader: ReaderClient;
  private sight: StoreSight | undefined;
  /** Whether the last look was the reader's. */
  private isFollowing = false;
  /** When this process last heard of the scene, from the store or from whom it follows. */
  private heard: number | undefined;
  /** Where it is not listed, this process does not look at the store itself before. */
  private lookNotBefore = -Infinity;

  constructor(private readonly ports: FollowerPorts) {
    this.members = new Members(ports);
    this.keptScene = new SceneKeeper(ports);
    const { vm, dataCentre } = ports.settings;
    const { peers, clock, keeper } = ports;
    this.reader = new ReaderClient({ vm, dataCentre, peers, clock });
    this.confirmer = new PeerConfirmer({ vm, peers, keeper, members: this.members, clock });
  }

  get scene(): ServingConfig {
    return this.keptScene.scene;
  }

  get isInformed(): boolean {
    return this.keptScene.isInformed;
  }

  /** Whether this process looked at the store itself last, for those that follow it as well. */
  get isReading(): boolean {
    return !this.isFollowing && !this.isAway;
  }

  /** When this process last heard from the store, or from a proxy that it follows. */
  get heardAt(): number | undefined {
    return this.heard;
  }

  /** What this process knows, for a peer that starts while the store is away. */
  encodeScene(): string {
    return this.keptScene.encode(this.members.list());
  }

  /** Looks until stopped. */
  async run(): Promise<void> {
    const { clock, random } = this.ports;
    while (!this.isStopped) {
      this.isFollowing = await this.follow();
      const isAnswered = this.isFollowing || (await this.ask());
      if (isAnswered) this.heard = clock.now();
      this.ports.onLook();
      const paceMs = this.findPace(isAnswered);
      const restMs = paceMs * (1 - jitterShare + 2 * jitterShare * random.draw());
      await Promise.race([clock.sleep(restMs), this.waitForWake()]);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /**
   * Looks at once. After a step of the time of day, or a suspension, the permission to use primaries is
   * void until the next look, which callers wait for.
   */
  wake(): void {
    this.endRest();
  }

  private waitForWake(): Promise<void> {
    return new Promise((resolve) => {
      this.endRest = resolve;
    });
  }

  /**
   * Stops, and takes this proxy out of the store. While a process that has ended is listed, each change
   * of primary waits 1.75 s for its permission to lapse. The permission goes first: nobody waits for a
   * proxy that is not listed.
   */
  async leave(): Promise<void> {
    this.stop();
    this.ports.keeper.revokePermit();
    await this.members.deregister();
  }

  private findPace(isAnswered: boolean): number {
    const { settings, keeper } = this.ports;
    return findPace({
      isUnlisted: this.isUnlisted,
      hasPeers: settings.peers !== undefined,
      isInformed: this.isInformed,
      isConfirmed: keeper.confirmedAt !== undefined,
      isFollowing: this.isFollowing,
      isAnswered,
      isAway: this.isAway,
      proxies: this.members.list().length,
      storeReadsPerSecond: settings.storeReadsPerSecond,
      configurationApplyMs: settings.configurationApplyMs,
    });
  }

  /**
   * The store's revision of which everything is known here, and when the question was sent whose answer
   * showed it to be current. For those that follow this process; what it hears from others of the store's
   * answers to them is no look: it says nothing of what has changed there.
   */
  get known(): StoreSight | undefined {
    return this.sight;
  }

  /** Learns from another proxy what it knows of the store; false when the store has to be asked. */
  private async follow(): Promise<boolean> {
    if (!this.isInformed) return false;
    if (this.members.isRegistered()) return this.lookThroughReader();
    return !this.isRegistrationDue() && this.lookThroughUpstream();
  }

  /**
   * Asks the store; where this process is not listed, seldom. Most of a fleet are such, and at a first
   * start nobody is there to be followed: all of them would ask it all the time. What the seeds have read serves as well, and costs the store nothing.
   */
  private async ask(): Promise<boolean> {
    const { clock, random } = this.ports;
    const isSpared = this.isUnlisted && !this.isSeed() && clock.now() < this.lookNotBefore;
    if (isSpared && !this.isRegistrationDue()) return this.fetchScene();
    const isAnswered = await this.look();
    const spareMs = unlistedLookMs * (0.5 + random.draw());
    this.lookNotBefore = this.isStartingBlind ? -Infinity : clock.now() + spareMs;
    return isAnswered;
  }

  /** Whether this process has begun while the store is away: it can serve nobody before it is back. */
  private get isStartingBlind(): boolean {
    return this.isAway && !this.isInformed;
  }

  /** Whether this process holds no connections, and others run its callers' statements. */
  get isUnlisted(): boolean {
    return this.ports.settings.gateway !== undefined && !this.members.isRegistered();
  }

  /** Whether others that start ask this process: it has to know what the store says. */
  private isSeed(): boolean {
    const { seeds, peers } = this.ports.settings;
    return seeds.some(({ host, port }) => host === peers?.host && port === peers.port);
  }

  /** Whether this process is to become one that holds connections. */
  private isRegistrationDue(): boolean {
    if (!this.isInformed) return false;
    const groups = this.scene.groups.values();
    const quota = countListedProxyQuota(groups, this.ports.settings.dataCentres);
    return this.members.isRegistrationDue(quota);
  }

  /**
   * Takes in what a listed proxy knows. This one uses no primaries, so that it needs no permission, and
   * what it hears late costs a statement one hop more.
   */
  private async lookThroughUpstream(): Promise<boolean> {
    const { keeper, clock } = this.ports;
    const answer = await this.reader.askUpstream(this.members.list(), keeper.latestUpdate);
    switch (answer.type) {
      case "silent":
        return false;
      case "old":
        keeper.adopt(answer.answer);
        this.heard = clock.now();
        return false;
      case "look":
        return this.takeLook(answer.look);
    }
  }

  /**
   * Takes in the last look of the data centre's reader; false when the store has to be asked. A process
   * that is new, or may use no primaries, asks the store itself: its callers wait for what it brings.
   */
  private async lookThroughReader(): Promise<boolean> {
    const { keeper } = this.ports;
    if (keeper.confirmedAt === undefined) return false;
    const look = await this.reader.ask(this.members.list(), keeper.latestUpdate);
    if (look === undefined || !(await this.takeLook(look))) return false;
    const { confirmedAt, answer } = look;
    const isCurrent = answer.leadership.version >= keeper.leadership.version;
    if (confirmedAt !== undefined && isCurrent && this.members.isMemberBefore(confirmedAt)) {
      keeper.confirm(confirmedAt);
    }
    return true;
  }

  /** Takes in what another proxy has seen of the store. */
  private async takeLook(look: ReaderLook): Promise<boolean> {
    const { keeper } = this.ports;
    const wasListed = this.members.isRegistered();
    keeper.adopt(look.answer);
    if (look.revision !== this.readRevision && !(await this.copyScene(look))) return false;
    if (this.isAway) this.ports.logger.write(leadershipEvents.storeContactRegained, {});
    this.isAway = false;
    this.keptScene.noteStoreAnswer(look.lookedAt);
    this.sight = { revision: look.revision, askedAt: look.lookedAt };
    keeper.noteStoreAnswer(look.lookedAt);
    return this.members.isRegistered() === wasListed;
  }

  /** Takes over what the reader has read of the store. */
  private copyScene({ reader, revision }: ReaderLook): Promise<boolean> {
    return this.copyFrom(reader, revision);
  }

  private async copyFrom({ address }: Proxy, revision: number): Promise<boolean> {
    const text = await this.ports.peers.fetchScene(address, peerTimeoutMs);
    const proxies = this.keptScene.takeSnapshot(text);
    if (proxies === undefined) return false;
    this.members.take(proxies);
    this.readRevision = revision;
    this.keptScene.publish();
    return true;
  }

  /**
   * Takes over what a peer has read of the store, which turns this process away. Callers whose keys were
   * taken away meanwhile would go on here until the store answers again. It is no look of this process's:
   * nobody follows it, and the next answer of the store is compared with it.
   */
  private async copyNewest(answers: readonly LeadershipAnswer[]): Promise<void> {
    const newest = findNewest(answers);
    const { storeRevision: revision, vm } = newest ?? {};
    if (revision === undefined || revision <= (this.readRevision ?? 0)) return;
    const peer = this.members.list().find((proxy) => proxy.vm === vm);
    if (peer !== undefined) await this.copyFrom(peer, revision);
  }

  private async look(): Promise<boolean> {
    const { store, clock, keeper, logger } = this.ports;
    const askedAt = clock.now();
    // Before the operators have written any configuration there is nothing else to be read.
    const [beat, routes] = await Promise.all([store.readBeat(), this.readFirstRoutes()]);
    if (beat.type !== "found") {
      if (!this.isAway) logger.write(leadershipEvents.storeContactLost, { reason: describe(beat) });
      this.isAway = true;
      if (!this.isInformed) await this.fetchScene();
      if (!this.isUnlisted) await this.copyNewest(await this.confirmer.ask());
      return false;
    }
    if (routes?.type === "absent") return false;
    if (this.isAway) logger.write(leadershipEvents.storeContactRegained, {});
    this.isAway = false;
    this.keptScene.noteStoreAnswer(askedAt);
    if (beat.value.leadership !== undefined) {
      keeper.adopt({ leadership: beat.value.leadership, promoted: [] });
    }
    const isListed = await this.readChanges(beat.value, routes);
    const { revision } = beat.value;
    if (this.readRevision === revision) this.sight = { revision, askedAt };
    keeper.noteStoreAnswer(askedAt);
    if (isListed && this.members.isMemberBefore(askedAt)) keeper.confirm(askedAt);
    // Not waited for: while the store is slow, calls for a rack of them would hold up the next look.
    void this.members.removeMissed();
    // One proxy does it for all.
    if (isListed && this.members.isFirst()) void this.keptScene.updateRecords();
    return true;
  }

  /** The configuration, by a process that knows none; it waits for nothing else. */
  private readFirstRoutes(): Promise<StoreRead<RouteTable> | undefined> {
    if (this.keptScene.hasRoutes) return Promise.resolve(undefined);
    return this.ports.store.readRoutes();
  }

  /** Reads what has changed; false when it is not known which proxies there are. */
  private async readChanges(
    { revision }: StoreBeat,
    firstRoutes: StoreRead<RouteTable> | undefined,
  ): Promise<boolean> {
    const isSettled = this.members.isRegistered() || !this.isRegistrationDue();
    const isSame = revision === this.readRevision && this.isInformed && isSettled;
    if (isSame && !this.keptScene.isAwaitingReturn) return true;
    const { store } = this.ports;
    const [routes, targets, proxies] = await Promise.all([
      firstRoutes ?? store.readRoutes(),
      store.readTargets(),
      store.listProxies(),
      this.keptScene.loadRecords(),
    ]);
    if (routes.type === "found") this.keptScene.takeRoutes(routes.value);
    if (routes.type === "unavailable") {
      this.ports.logger.write(nodeEvents.configurationUnreadable, { reason: routes.reason });
    }
    if (targets.type === "found") this.keptScene.takeTargets(targets.value);
    if (proxies.type === "found") this.members.take(proxies.value);
    this.keptScene.publish();
    if (proxies.type === "found" && this.isRegistrationDue()) await this.members.register();
    const isWhole = [routes, targets, proxies].every((read) => read.type !== "unavailable");
    this.readRevision = isWhole ? revision : undefined;
    this.keptScene.publish();
    return proxies.type === "found";
  }

  /** A start without the store, or beside many others: what a seed knows serves until more is known. */
  private async fetchScene(): Promise<boolean> {
    const { settings, peers, logger, random } = this.ports;
    const first = Math.floor(random.draw() * settings.seeds.length);
    const seeds = [...settings.seeds.slice(first), ...settings.seeds.slice(0, first)];
    for (const seed of seeds) {
      const text = await peers.fetchScene(seed, peerTimeoutMs);
      const proxies = this.keptScene.takeSnapshot(text);
      if (proxies === undefined) continue;
      // A seed may be cut off and know less than this process did: the store is read anew.
      this.readRevision = undefined;
      this.members.copy(proxies);
      logger.write(nodeEvents.servingConfigFetched, { seed: `${seed.host}:${seed.port}` });
      this.keptScene.publish();
      return true;
    }
    return false;
  }
}

/** The answer of whoever knows the newest state of the store. */
function findNewest(answers: readonly LeadershipAnswer[]): LeadershipAnswer | undefined {
  return answers.reduce<LeadershipAnswer | undefined>(
    (newest, answer) =>
      (answer.storeRevision ?? -1) > (newest?.storeRevision ?? -1) ? answer : newest,
    undefined,
  );
}

function describe(read: { readonly type: string; readonly reason?: string }): string {
  return read.reason ?? read.type;
}
