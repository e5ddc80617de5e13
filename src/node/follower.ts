import type { ServingConfig } from "../direct/index.js";
import type { RoutesRead } from "../feed/index.js";
import { countListedProxyQuota } from "../gateway/index.js";
import type { Proxy } from "../leadership/index.js";
import { leadershipEvents } from "../log/events/leadership.js";
import { nodeEvents } from "../log/events/node.js";
import { findNewestAnswer, PeerConfirmer, peerTimeoutMs } from "./confirmer.js";
import { ProxyRegistry } from "./proxy-registry.js";
import { computePollDelayMs } from "./poll-delay.js";
import { createStepRunner, type StepRunner } from "./poll-step.js";
import type { StoreStatus } from "./ports.js";
import type { StoreFollowerPorts, StorePoll } from "./follower-ports.js";
import { ReaderClient, type PollResult } from "./reader.js";
import { ServingConfigTracker } from "./serving-config-tracker.js";

/**
 * Mean interval between an unlisted process's own polls of the store, in milliseconds, varied by up to half.
 * In between it asks the seeds.
 */
const unlistedPollMs = 3000;
/** Random variation of the interval between polls, so that the proxies' calls don't coincide. */
const jitterShare = 0.1;

/**
 * Synchronises a node with the platform's store by polling one small object at a regular interval. The poll
 * confirms the leadership, and the store's revision shows whether anything else has changed; the
 * configuration, the targets and the proxies are read again only then. Unlike a watch, polling can't stop
 * delivering changes unnoticed.
 */
export class StoreFollower {
  private readRevision: number | undefined;
  private isStoreUnavailable = false;
  private isStopped = false;
  private endPause: () => void = () => undefined;
  /** The proxies that are registered in the store, including this one. */
  readonly registry: ProxyRegistry;
  private readonly configTracker: ServingConfigTracker;
  private readonly confirmer: PeerConfirmer;
  private readonly runStep: StepRunner;
  private readonly reader: ReaderClient;
  private latestPoll: StorePoll | undefined;
  /** Whether the last poll was answered by another proxy. */
  private isFollowing = false;
  /** When the store, or the proxy that is polled instead, last answered. */
  private lastHeardAt: number | undefined;
  /** The earliest time at which this process, if unlisted, polls the store itself. */
  private nextPollAt = -Infinity;

  constructor(private readonly ports: StoreFollowerPorts) {
    this.registry = new ProxyRegistry(ports);
    this.configTracker = new ServingConfigTracker(ports);
    this.runStep = createStepRunner(ports.logger);
    const { vm, dataCentre, topology } = ports.settings;
    const { peers, clock, tracker, random } = ports;
    this.reader = new ReaderClient({ vm, dataCentre, topology, peers, clock });
    this.confirmer = new PeerConfirmer({
      vm,
      dataCentre,
      topology,
      peers,
      tracker,
      registry: this.registry,
      clock,
      random,
    });
  }

  get servingConfig(): ServingConfig {
    return this.configTracker.servingConfig;
  }

  /** Whether a statement sent now could reach a target after its drain timeout. */
  hasDrained(target: string): boolean {
    return this.configTracker.hasDrained(target, this.ports.tracker.lastAnsweredStoreQueryAt);
  }

  get isInitialised(): boolean {
    return this.configTracker.isInitialised;
  }

  /** Whether the last poll went to the store itself and was answered; other proxies then poll this one. */
  get isPollingStore(): boolean {
    return !this.isFollowing && !this.isStoreUnavailable;
  }

  /** When the store, or the proxy that is polled instead, last answered; undefined before that. */
  get heardAt(): number | undefined {
    return this.lastHeardAt;
  }

  /** Encodes what this process knows, for a peer that starts while the store is unavailable. */
  encodeServingConfig(): string {
    return this.configTracker.encodeForPeer(this.registry.list());
  }

  /** Polls until stopped. */
  async run(): Promise<void> {
    const { clock, random } = this.ports;
    while (!this.isStopped) {
      this.isFollowing = await this.runStep(() => this.pollThroughProxy());
      const isAnswered = this.isFollowing || (await this.runStep(() => this.pollStoreOrSeeds()));
      if (isAnswered) this.lastHeardAt = clock.now();
      await this.runStep(() => this.ports.onPoll());
      const delayMs = this.computePollDelayMs(isAnswered);
      const pauseMs = delayMs * (1 - jitterShare + 2 * jitterShare * random.draw());
      await Promise.race([clock.sleep(pauseMs), this.waitForWake()]);
    }
  }

  /** Ends polling after the poll or pause in progress. */
  stop(): void {
    this.isStopped = true;
  }

  /**
   * Polls at once. After a step of the wall clock or a suspension of the process, the permit to use primaries
   * is void until the next poll, which callers wait for.
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
   * Stops, and removes this proxy's entry from the store. While an ended process is listed, each change of
   * primary waits 1.75 s for its permit to expire. The permit is revoked first, because a change does not wait
   * for a proxy that is not listed.
   */
  async leave(): Promise<void> {
    this.stop();
    this.ports.tracker.revokePermit();
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
   * The store's revision whose data this process has read completely, and when the poll was sent that showed
   * it to be current. Proxies that poll this one rely on it. Answers of the store that peers report are not
   * included, because they don't tell what has changed in the store.
   */
  get lastPoll(): StorePoll | undefined {
    return this.latestPoll;
  }

  /** Polls through another proxy; false when the store has to be polled. */
  private async pollThroughProxy(): Promise<boolean> {
    if (!this.isInitialised) return false;
    if (this.registry.isRegistered()) return this.pollThroughReader();
    return !this.isRegistrationDue() && this.pollThroughUpstream();
  }

  /**
   * Polls the store, but only rarely if this process is unlisted. Most of a fleet are unlisted, and at a first
   * start no proxy is listed that they could poll, so all of them would poll the store continually. In between,
   * the seeds are asked, whose data serves as well and causes no load on the store.
   */
  private async pollStoreOrSeeds(): Promise<boolean> {
    const { clock, random } = this.ports;
    const isDeferred = this.isUnlisted && !this.isSeed() && clock.now() < this.nextPollAt;
    if (isDeferred && !this.isRegistrationDue()) return this.fetchFromSeeds();
    const isAnswered = await this.pollStore();
    const intervalMs = unlistedPollMs * (0.5 + random.draw());
    this.nextPollAt = this.isStartingDuringOutage ? -Infinity : clock.now() + intervalMs;
    return isAnswered;
  }

  /** Whether this process started while the store is unavailable and can't serve before its return. */
  private get isStartingDuringOutage(): boolean {
    return this.isStoreUnavailable && !this.isInitialised;
  }

  /** Whether this process holds no connections to targets, so that others run its callers' statements. */
  get isUnlisted(): boolean {
    return this.ports.settings.gateway !== undefined && !this.registry.isRegistered();
  }

  /** Whether starting processes ask this one, so that it has to read the store itself. */
  private isSeed(): boolean {
    const { seeds, peers } = this.ports.settings;
    return seeds.some(({ host, port }) => host === peers?.host && port === peers.port);
  }

  /** Whether this process has to register, to become one that holds connections. */
  private isRegistrationDue(): boolean {
    if (!this.isInitialised) return false;
    const groups = this.servingConfig.groups.values();
    const quota = countListedProxyQuota(groups, this.ports.settings.dataCentres);
    return this.registry.isRegistrationDue(quota);
  }

  /**
   * Polls through a listed proxy. This process uses no primaries and therefore needs no permit; if its data is
   * outdated, a statement merely takes one more hop.
   */
  private async pollThroughUpstream(): Promise<boolean> {
    const { tracker, clock } = this.ports;
    const answer = await this.reader.askUpstream(this.registry.list(), tracker.latestUpdate);
    switch (answer.type) {
      case "silent":
        return false;
      case "stale":
        tracker.adopt(answer.answer);
        this.lastHeardAt = clock.now();
        return false;
      case "poll":
        return this.applyPollResult(answer.poll);
    }
  }

  /**
   * Adopts the last poll of the data centre's reader; false when the store has to be polled. A process without
   * a confirmation polls the store itself, since its callers wait for the result.
   */
  private async pollThroughReader(): Promise<boolean> {
    const { tracker } = this.ports;
    if (tracker.confirmedAt === undefined) return false;
    const poll = await this.reader.askReader(this.registry.list(), tracker.latestUpdate);
    if (poll === undefined || !(await this.applyPollResult(poll))) return false;
    const { confirmedAt, answer } = poll;
    const isCurrent = answer.leadership.version >= tracker.leadership.version;
    if (confirmedAt !== undefined && isCurrent && this.registry.wasRegisteredBefore(confirmedAt)) {
      tracker.confirm(confirmedAt);
    }
    return true;
  }

  /** Adopts another proxy's poll; false when the store has to be polled after all. */
  private async applyPollResult(poll: PollResult): Promise<boolean> {
    const { tracker } = this.ports;
    const wasListed = this.registry.isRegistered();
    tracker.adopt(poll.answer);
    if (poll.revision !== this.readRevision && !(await this.copyFromReader(poll))) return false;
    if (this.isStoreUnavailable) this.ports.logger.write(leadershipEvents.storeContactRegained, {});
    this.isStoreUnavailable = false;
    this.configTracker.recordStoreAnswer(poll.polledAt);
    this.latestPoll = { revision: poll.revision, requestedAt: poll.polledAt };
    this.configTracker.confirmTargets(poll.polledAt);
    tracker.noteStoreAnswer(poll.polledAt);
    return this.registry.isRegistered() === wasListed;
  }

  /** Adopts the configuration, targets and proxies that the reader has read. */
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
   * Adopts the newest data that a peer has read while the store rejects this process's requests, or some of them.
   * Otherwise callers whose keys have been revoked, and targets that have left, would be served here until the store
   * answers again. This doesn't count as a poll: other proxies don't rely on it, and the store's next answer is
   * compared with it.
   */
  private async copyFromNewestPeer(): Promise<void> {
    const askedAt = this.ports.clock.now();
    const newest = findNewestAnswer(await this.confirmer.askPeers());
    const { storeRevision: revision, lookedAgoMs, vm } = newest ?? {};
    if (revision === undefined || revision < (this.readRevision ?? 0)) return;
    if (revision !== this.readRevision) {
      const peer = this.registry.list().find((proxy) => proxy.vm === vm);
      if (peer === undefined || !(await this.copyFrom(peer, revision))) return;
    }
    if (lookedAgoMs !== undefined) this.configTracker.confirmTargets(askedAt - lookedAgoMs);
  }

  private async pollStore(): Promise<boolean> {
    const { store, clock, tracker, logger } = this.ports;
    const askedAt = clock.now();
    // Until the operators have written a configuration, nothing else is read.
    const [status, routes] = await Promise.all([store.readStatus(), this.readFirstRoutes()]);
    if (status.type !== "found") {
      if (!this.isStoreUnavailable)
        logger.write(leadershipEvents.storeContactLost, { reason: describe(status) });
      this.isStoreUnavailable = true;
      if (!this.isInitialised) await this.fetchFromSeeds();
      if (!this.isUnlisted) await this.copyFromNewestPeer();
      return false;
    }
    if (routes?.type === "absent") return false;
    // The peers' last valid configuration is used, as one that the store gives instead can't be.
    if (routes?.type === "invalid") await this.fetchFromSeeds();
    if (this.isStoreUnavailable) logger.write(leadershipEvents.storeContactRegained, {});
    this.isStoreUnavailable = false;
    this.configTracker.recordStoreAnswer(askedAt);
    if (status.value.leadership !== undefined) {
      tracker.adopt({ leadership: status.value.leadership, promoted: [] });
    }
    const isListed = await this.readChanges(status.value, routes);
    const { revision } = status.value;
    if (this.readRevision === undefined) await this.copyFromNewestPeer();
    if (this.readRevision === revision) {
      this.latestPoll = { revision, requestedAt: askedAt };
      this.configTracker.confirmTargets(askedAt);
    }
    tracker.noteStoreAnswer(askedAt);
    if (isListed && this.registry.wasRegisteredBefore(askedAt)) tracker.confirm(askedAt);
    // Not awaited: while the store is slow, removing a whole rack's entries would delay the next poll.
    void this.registry.removeMissed();
    // Only one proxy does this.
    if (isListed && this.registry.isCoordinator()) void this.configTracker.updateRecords();
    return true;
  }

  /** Reads the configuration if none is known yet; it is needed before anything else. */
  private readFirstRoutes(): Promise<RoutesRead | undefined> {
    if (this.configTracker.hasRoutes) return Promise.resolve(undefined);
    return this.ports.store.readRoutes();
  }

  /**
   * Reads everything again if anything has changed; false when the proxies could not be listed. An invalid configuration
   * counts as read: otherwise the listing of the targets would count as outdated for as long as it stands.
   */
  private async readChanges(
    { revision }: StoreStatus,
    firstRoutes: RoutesRead | undefined,
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
    if (routes.type === "unavailable" || routes.type === "invalid") {
      this.ports.logger.write(nodeEvents.configurationUnreadable, { reason: routes.reason });
    }
    if (targets.type === "found") this.configTracker.updateTargets(targets.value);
    if (targets.type === "unavailable") this.configTracker.logTargetsUnreadable(targets.reason);
    if (proxies.type === "found") this.registry.applyListing(proxies.value);
    this.configTracker.publish();
    if (proxies.type === "found" && this.isRegistrationDue()) await this.registry.register();
    const isComplete = [routes, targets, proxies].every((read) => read.type !== "unavailable");
    this.readRevision = isComplete ? revision : undefined;
    this.configTracker.publish();
    return proxies.type === "found";
  }

  /**
   * Adopts what a seed knows, at a start while the store is unavailable or many other processes start. False
   * when no seed gives usable data.
   */
  private async fetchFromSeeds(): Promise<boolean> {
    const { settings, peers, logger, random } = this.ports;
    const first = Math.floor(random.draw() * settings.seeds.length);
    const seeds = [...settings.seeds.slice(first), ...settings.seeds.slice(0, first)];
    for (const seed of seeds) {
      const text = await peers.fetchScene(seed, peerTimeoutMs);
      const proxies = this.configTracker.updateFromPeer(text);
      if (proxies === undefined) continue;
      // The seed may be unable to reach the store and have older data, so everything is read again.
      this.readRevision = undefined;
      this.registry.applyPeerListing(proxies);
      logger.write(nodeEvents.servingConfigFetched, { seed: `${seed.host}:${seed.port}` });
      this.configTracker.publish();
      return true;
    }
    return false;
  }
}

function describe(read: { readonly type: string; readonly reason?: string }): string {
  return read.reason ?? read.type;
}
