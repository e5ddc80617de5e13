import type { ServingConfig } from "../direct/index.js";
import type { DirectPeerClient } from "../directpeer/index.js";
import type { RouteTable } from "../feed/index.js";
import { countMemberQuota } from "../gateway/index.js";
import type { LeadershipAnswer, LeadershipKeeper, Proxy } from "../leadership/index.js";
import { leadershipEvents } from "../log/events/leadership.js";
import { nodeEvents } from "../log/events/node.js";
import type { Logger } from "../log/index.js";
import type { Clock, Random, StoreRead } from "../model/index.js";
import { PeerConfirmer, peerTimeoutMs } from "./confirmer.js";
import { ProxyRegistry } from "./proxy-registry.js";
import { computePollDelayMs } from "./poll-delay.js";
import type { NodeStore, StoreStatus } from "./ports.js";
import { ReaderClient, type PollResult } from "./reader.js";
import { ServingConfigTracker } from "./serving-config-tracker.js";
import type { NodeSettings } from "./settings.js";

/** Between two looks at the store of a process that is not listed, by half more or less; the seeds are asked meanwhile. */
const unlistedPollMs = 3000;
/** Looks are spread, so that the proxies' calls don't come together. */
const jitterShare = 0.1;

/** What is known of the store, and as of when; on this process's clock. */
export interface StorePoll {
  readonly revision: number;
  readonly requestedAt: number;
}

/** What a follower needs. */
export interface StoreFollowerPorts {
  readonly settings: NodeSettings;
  readonly store: NodeStore;
  readonly peers: DirectPeerClient;
  readonly tracker: LeadershipKeeper;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly onServingConfig: (scene: ServingConfig) => void;
  /** After each look, whatever it brought. */
  readonly onPoll: () => void;
}

/**
 * Keeps a node in step with the platform's store by one cheap read at a steady pace. It confirms who
 * leads, and its revision tells whether anything else has changed, so that the configuration, the
 * targets and the proxies are read again only then. No watch can be cut off or fall silent unseen.
 */
export class StoreFollower {
  private readRevision: number | undefined;
  private isStoreUnavailable = false;
  private isStopped = false;
  private endPause: () => void = () => undefined;
  /** The proxies that share the store's groups, this one included. */
  readonly registry: ProxyRegistry;
  private readonly configTracker: ServingConfigTracker;
  private readonly confirmer: PeerConfirmer;
  private readonly reader: ReaderClient;
  private latestPoll: StorePoll | undefined;
  /** Whether the last look was the reader's. */
  private isFollowing = false;
  /** When this process last heard of the scene, from the store or from whom it follows. */
  private lastHeardAt: number | undefined;
  /** Where it is not listed, this process does not look at the store itself before. */
  private nextPollAt = -Infinity;

  constructor(private readonly ports: StoreFollowerPorts) {
    this.registry = new ProxyRegistry(ports);
    this.configTracker = new ServingConfigTracker(ports);
    const { vm, dataCentre } = ports.settings;
    const { peers, clock, tracker } = ports;
    this.reader = new ReaderClient({ vm, dataCentre, peers, clock });
    this.confirmer = new PeerConfirmer({ vm, peers, tracker, registry: this.registry, clock });
  }

  get servingConfig(): ServingConfig {
    return this.configTracker.servingConfig;
  }

  get isInitialised(): boolean {
    return this.configTracker.isInitialised;
  }

  /** Whether this process looked at the store itself last, for those that follow it as well. */
  get isPollingStore(): boolean {
    return !this.isFollowing && !this.isStoreUnavailable;
  }

  /** When this process last heard from the store, or from a proxy that it follows. */
  get heardAt(): number | undefined {
    return this.lastHeardAt;
  }

  /** What this process knows, for a peer that starts while the store is away. */
  encodeServingConfig(): string {
    return this.configTracker.encodeForPeer(this.registry.list());
  }

  /** Looks until stopped. */
  async run(): Promise<void> {
    const { clock, random } = this.ports;
    while (!this.isStopped) {
      this.isFollowing = await this.pollThroughProxy();
      const isAnswered = this.isFollowing || (await this.pollStoreOrSeeds());
      if (isAnswered) this.lastHeardAt = clock.now();
      this.ports.onPoll();
      const paceMs = this.computePollDelayMs(isAnswered);
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
    this.endPause();
  }

  private waitForWake(): Promise<void> {
    return new Promise((resolve) => {
      this.endPause = resolve;
    });
  }

  /**
   * Stops, and takes this proxy out of the store. While a process that has ended is listed, each change
   * of primary waits 1.75 s for its permission to lapse. The permission goes first: nobody waits for a
   * proxy that is not listed.
   */
  async leave(): Promise<void> {
    this.stop();
    this.ports.tracker.revoke();
    await this.registry.deregister();
  }

  private computePollDelayMs(isAnswered: boolean): number {
    const { settings, tracker } = this.ports;
    return computePollDelayMs({
      isUnlisted: this.isUnlisted,
      hasPeers: settings.peers !== undefined,
      isInitialised: this.isInitialised,
      isConfirmed: tracker.confirmedAt !== undefined,
      isFollowing: this.isFollowing,
      isAnswered,
      isStoreUnavailable: this.isStoreUnavailable,
      proxyCount: this.registry.list().length,
      storeReadsPerSecond: settings.storeReadsPerSecond,
      configurationApplyMs: settings.configurationApplyMs,
    });
  }

  /**
   * The store's revision of which everything is known here, and when the question was sent whose answer
   * showed it to be current. For those that follow this process; what it hears from others of the store's
   * answers to them is no look: it says nothing of what has changed there.
   */
  get lastPoll(): StorePoll | undefined {
    return this.latestPoll;
  }

  /** Learns from another proxy what it knows of the store; false when the store has to be asked. */
  private async pollThroughProxy(): Promise<boolean> {
    if (!this.isInitialised) return false;
    if (this.registry.isRegistered()) return this.pollThroughReader();
    return !this.isRegistrationDue() && this.pollThroughUpstream();
  }

  /**
   * Asks the store; where this process is not listed, seldom. Most of a fleet are such, and at a first
   * start nobody is there to be followed: all of them would ask it all the time. What the seeds have read serves as well, and costs the store nothing.
   */
  private async pollStoreOrSeeds(): Promise<boolean> {
    const { clock, random } = this.ports;
    const isSpared = this.isUnlisted && !this.isSeed() && clock.now() < this.nextPollAt;
    if (isSpared && !this.isRegistrationDue()) return this.fetchFromSeeds();
    const isAnswered = await this.pollStore();
    const spareMs = unlistedPollMs * (0.5 + random.draw());
    this.nextPollAt = this.isStartingDuringOutage ? -Infinity : clock.now() + spareMs;
    return isAnswered;
  }

  /** Whether this process has begun while the store is away: it can serve nobody before it is back. */
  private get isStartingDuringOutage(): boolean {
    return this.isStoreUnavailable && !this.isInitialised;
  }

  /** Whether this process holds no connections, and others run its callers' statements. */
  get isUnlisted(): boolean {
    return this.ports.settings.gateway !== undefined && !this.registry.isRegistered();
  }

  /** Whether others that start ask this process: it has to know what the store says. */
  private isSeed(): boolean {
    const { seeds, peers } = this.ports.settings;
    return seeds.some(({ host, port }) => host === peers?.host && port === peers.port);
  }

  /** Whether this process is to become one that holds connections. */
  private isRegistrationDue(): boolean {
    if (!this.isInitialised) return false;
    const groups = this.servingConfig.groups.values();
    const quota = countMemberQuota(groups, this.ports.settings.dataCentres);
    return this.registry.isRegistrationDue(quota);
  }

  /**
   * Takes in what a listed proxy knows. This one uses no primaries, so that it needs no permission, and
   * what it hears late costs a statement one hop more.
   */
  private async pollThroughUpstream(): Promise<boolean> {
    const { tracker, clock } = this.ports;
    const answer = await this.reader.askUpstream(this.registry.list(), tracker.word);
    switch (answer.type) {
      case "silent":
        return false;
      case "old":
        tracker.adopt(answer.answer);
        this.lastHeardAt = clock.now();
        return false;
      case "look":
        return this.applyPollResult(answer.look);
    }
  }

  /**
   * Takes in the last look of the data centre's reader; false when the store has to be asked. A process
   * that is new, or may use no primaries, asks the store itself: its callers wait for what it brings.
   */
  private async pollThroughReader(): Promise<boolean> {
    const { tracker } = this.ports;
    if (tracker.confirmedAt === undefined) return false;
    const look = await this.reader.askReader(this.registry.list(), tracker.word);
    if (look === undefined || !(await this.applyPollResult(look))) return false;
    const { confirmedAt, answer } = look;
    const isCurrent = answer.leadership.version >= tracker.leadership.version;
    if (confirmedAt !== undefined && isCurrent && this.registry.wasRegisteredBefore(confirmedAt)) {
      tracker.confirm(confirmedAt);
    }
    return true;
  }

  /** Takes in what another proxy has seen of the store. */
  private async applyPollResult(look: PollResult): Promise<boolean> {
    const { tracker } = this.ports;
    const wasListed = this.registry.isRegistered();
    tracker.adopt(look.answer);
    if (look.revision !== this.readRevision && !(await this.copyFromReader(look))) return false;
    if (this.isStoreUnavailable) this.ports.logger.write(leadershipEvents.storeRegained, {});
    this.isStoreUnavailable = false;
    this.configTracker.recordStoreAnswer(look.polledAt);
    this.latestPoll = { revision: look.revision, requestedAt: look.polledAt };
    tracker.noteStoreAnswer(look.polledAt);
    return this.registry.isRegistered() === wasListed;
  }

  /** Takes over what the reader has read of the store. */
  private copyFromReader({ reader, revision }: PollResult): Promise<boolean> {
    return this.copyFrom(reader, revision);
  }

  private async copyFrom({ address }: Proxy, revision: number): Promise<boolean> {
    const text = await this.ports.peers.fetchScene(address, peerTimeoutMs);
    const proxies = this.configTracker.updateFromPeer(text);
    if (proxies === undefined) return false;
    this.registry.applyListing(proxies);
    this.readRevision = revision;
    this.configTracker.publish();
    return true;
  }

  /**
   * Takes over what a peer has read of the store, which turns this process away. Callers whose keys were
   * taken away meanwhile would go on here until the store answers again. It is no look of this process's:
   * nobody follows it, and the next answer of the store is compared with it.
   */
  private async copyFromNewestPeer(answers: readonly LeadershipAnswer[]): Promise<void> {
    const newest = findNewestAnswer(answers);
    const { storeRevision: revision, vm } = newest ?? {};
    if (revision === undefined || revision <= (this.readRevision ?? 0)) return;
    const peer = this.registry.list().find((proxy) => proxy.vm === vm);
    if (peer !== undefined) await this.copyFrom(peer, revision);
  }

  private async pollStore(): Promise<boolean> {
    const { store, clock, tracker, logger } = this.ports;
    const askedAt = clock.now();
    // Before the operators have written any configuration there is nothing else to be read.
    const [beat, routes] = await Promise.all([store.readStatus(), this.readFirstRoutes()]);
    if (beat.type !== "found") {
      if (!this.isStoreUnavailable)
        logger.write(leadershipEvents.storeLost, { reason: describe(beat) });
      this.isStoreUnavailable = true;
      if (!this.isInitialised) await this.fetchFromSeeds();
      if (!this.isUnlisted) await this.copyFromNewestPeer(await this.confirmer.askPeers());
      return false;
    }
    if (routes?.type === "absent") return false;
    if (this.isStoreUnavailable) logger.write(leadershipEvents.storeRegained, {});
    this.isStoreUnavailable = false;
    this.configTracker.recordStoreAnswer(askedAt);
    if (beat.value.leadership !== undefined) {
      tracker.adopt({ leadership: beat.value.leadership, made: [] });
    }
    const isListed = await this.readChanges(beat.value, routes);
    const { revision } = beat.value;
    if (this.readRevision === revision) this.latestPoll = { revision, requestedAt: askedAt };
    tracker.noteStoreAnswer(askedAt);
    if (isListed && this.registry.wasRegisteredBefore(askedAt)) tracker.confirm(askedAt);
    // Not waited for: while the store is slow, calls for a rack of them would hold up the next look.
    void this.registry.removeMissed();
    // One proxy does it for all.
    if (isListed && this.registry.isCoordinator()) void this.configTracker.updateRecords();
    return true;
  }

  /** The configuration, by a process that knows none; it waits for nothing else. */
  private readFirstRoutes(): Promise<StoreRead<RouteTable> | undefined> {
    if (this.configTracker.hasRoutes) return Promise.resolve(undefined);
    return this.ports.store.readRoutes();
  }

  /** Reads what has changed; false when it is not known which proxies there are. */
  private async readChanges(
    { revision }: StoreStatus,
    firstRoutes: StoreRead<RouteTable> | undefined,
  ): Promise<boolean> {
    const isSettled = this.registry.isRegistered() || !this.isRegistrationDue();
    const isSame = revision === this.readRevision && this.isInitialised && isSettled;
    if (isSame && !this.configTracker.isInGracePeriod) return true;
    const { store } = this.ports;
    const [routes, targets, proxies] = await Promise.all([
      firstRoutes ?? store.readRoutes(),
      store.readTargets(),
      store.listProxies(),
      this.configTracker.loadRecords(),
    ]);
    if (routes.type === "found") this.configTracker.updateRoutes(routes.value);
    if (routes.type === "unavailable") {
      this.ports.logger.write(nodeEvents.configurationUnread, { reason: routes.reason });
    }
    if (targets.type === "found") this.configTracker.updateTargets(targets.value);
    if (proxies.type === "found") this.registry.applyListing(proxies.value);
    this.configTracker.publish();
    if (proxies.type === "found" && this.isRegistrationDue()) await this.registry.register();
    const isWhole = [routes, targets, proxies].every((read) => read.type !== "unavailable");
    this.readRevision = isWhole ? revision : undefined;
    this.configTracker.publish();
    return proxies.type === "found";
  }

  /** A start without the store, or beside many others: what a seed knows serves until more is known. */
  private async fetchFromSeeds(): Promise<boolean> {
    const { settings, peers, logger, random } = this.ports;
    const first = Math.floor(random.draw() * settings.seeds.length);
    const seeds = [...settings.seeds.slice(first), ...settings.seeds.slice(0, first)];
    for (const seed of seeds) {
      const text = await peers.fetchScene(seed, peerTimeoutMs);
      const proxies = this.configTracker.updateFromPeer(text);
      if (proxies === undefined) continue;
      // A seed may be cut off and know less than this process did: the store is read anew.
      this.readRevision = undefined;
      this.registry.applyPeerListing(proxies);
      logger.write(nodeEvents.sceneFetched, { seed: `${seed.host}:${seed.port}` });
      this.configTracker.publish();
      return true;
    }
    return false;
  }
}

/** The answer of whoever knows the newest state of the store. */
function findNewestAnswer(answers: readonly LeadershipAnswer[]): LeadershipAnswer | undefined {
  return answers.reduce<LeadershipAnswer | undefined>(
    (newest, answer) =>
      (answer.storeRevision ?? -1) > (newest?.storeRevision ?? -1) ? answer : newest,
    undefined,
  );
}

function describe(read: { readonly type: string; readonly reason?: string }): string {
  return read.reason ?? read.type;
}
