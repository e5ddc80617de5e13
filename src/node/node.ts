import {
  CallerRegistry,
  GroupDirectory,
  type DirectPorts,
  type ServingConfig,
  type StatementSample,
} from "../direct/index.js";
import { DirectPeerClient, DirectPeerServer } from "../directpeer/index.js";
import { DrainKeeper } from "../fleet/drain.js";
import {
  LeadershipKeeper,
  PrimaryChanger,
  StallDetector,
  type LeadershipAnswer,
  type LeadershipWord,
} from "../leadership/index.js";
import { LineServer } from "../lines/index.js";
import { nodeEvents } from "../log/events/node.js";
import { processEvents } from "../log/events/process.js";
import type { Logger } from "../log/index.js";
import { createMetrics, HealthServer, type Metrics } from "../metric/index.js";
import { DisposableStore, type Address, type Clock, type Random } from "../model/index.js";
import { StoreFollower } from "./follower.js";
import { Forwarding } from "./forwarding.js";
import type { NodeAdapter } from "./ports.js";
import { TargetStatusClient } from "./target-status.js";
import { ProxyLivenessMonitor } from "./proxy-liveness.js";
import { planDrain, type DrainPlan } from "./drain.js";
import { NodeRates } from "./rates.js";
import type { NodeSettings } from "./settings.js";

/** What a node is built from. */
export interface NodeOptions {
  readonly settings: NodeSettings;
  readonly adapter: NodeAdapter;
  readonly clock: Clock;
  readonly random: Random;
  /** The time of day, in milliseconds, to compare with the steady clock. */
  readonly wallClock: () => number;
  readonly logger: Logger;
  readonly incarnation: string;
  /** Where metrics are served besides the readiness address. */
  readonly metrics?: Address;
}

/**
 * Unconfirmed for this long a node tells the balancer so, in milliseconds: a look at the store, the next
 * one and the peers have failed then. The balancer takes two answers more to heed it, while callers are
 * refused here; before, it was told only after the permission had lapsed.
 */
const maxUnconfirmedMs = 1300;
/**
 * Without a word from anybody for this long a node that forwards statements tells the balancer so, in
 * milliseconds: two questions and a look at the store have failed then.
 */
const maxSilenceMs = 2500;
/** The balancer asks once a second and believes two answers; only then do callers come elsewhere. */
const balancerReactionMs = 2300;

/** One node that serves callers by direct connections to targets. */
export class Node {
  private readonly owned = new DisposableStore();
  private readonly metrics: Metrics;
  private readonly tracker: LeadershipKeeper;
  private readonly targetStatus: TargetStatusClient;
  private readonly changer: PrimaryChanger;
  private readonly follower: StoreFollower;
  private readonly directPorts: DirectPorts;
  private readonly groups: GroupDirectory;
  private readonly callers: CallerRegistry;
  private readonly forwarding: Forwarding;
  private readonly proxyLiveness: ProxyLivenessMonitor;
  private readonly rates: NodeRates;
  private readonly server: LineServer;
  private readonly drainer: DrainKeeper;
  private readonly drainPlan: DrainPlan;
  private wasReady = false;
  private gatewayRefreshAt = -Infinity;
  private readonly probing = new Set<string>();
  private idleCloseTimer: NodeJS.Timeout | undefined;
  private primaryCheckTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: NodeOptions) {
    const { settings, adapter, clock, random, logger } = options;
    this.metrics = createMetrics({ process: true });
    this.drainPlan = planDrain(settings.graceMs);
    this.tracker = new LeadershipKeeper({
      clock,
      logger,
      stalls: new StallDetector({ steady: () => clock.now(), wall: options.wallClock }),
      listTargets: (group) => this.listTargets(group),
      onStall: () => this.handleStall(),
      onMiss: () => this.schedulePrimaryCheck(),
      onSuperseded: (group, target) => this.groups.find(group)?.evict(target),
      onSilence: (group, target, since) => void this.probe(group, target, since),
    });
    this.targetStatus = new TargetStatusClient({
      adapter,
      clock,
      logger,
      listTargets: (group) => this.listTargets(group),
      hasReached: (group, target, since) => this.tracker.hasReached(group, target, since),
    });
    const peers = new DirectPeerClient(settings.vm, logger);
    this.follower = new StoreFollower({
      settings,
      store: this.owned.add(adapter.store),
      peers,
      tracker: this.tracker,
      clock,
      random,
      logger,
      onServingConfig: (scene) => this.applyServingConfig(scene),
      onPoll: () => this.handlePoll(),
    });
    this.proxyLiveness = new ProxyLivenessMonitor({
      vm: settings.vm,
      dataCentre: settings.dataCentre,
      peers,
      tracker: this.tracker,
      clock,
      logger,
      markMissed: (proxy) => adapter.store.markMissed(proxy),
    });
    this.forwarding = this.owned.add(
      new Forwarding({
        settings,
        clock,
        logger,
        listProxies: () => this.follower.registry.list(),
        isListed: () => this.follower.registry.isRegistered(),
        isLeaving: () => this.drainer.isLeaving(),
        isPermitted: () => this.tracker.isPermitted,
        listGroups: () => [...this.follower.servingConfig.groups.keys()],
        findGroup: (group) => this.follower.servingConfig.groups.get(group),
        findLeader: (group) => this.tracker.findLeader(group),
        onNoneAccepted: () => this.refreshGateways(),
      }),
    );
    this.rates = this.owned.add(
      new NodeRates({
        settings,
        peers,
        tracker: this.tracker,
        getRegistry: () => this.follower.registry,
        findPolledAt: () => this.follower.lastPoll?.requestedAt,
        clock,
        random,
        logger,
        getServingConfig: () => this.follower.servingConfig,
      }),
    );
    this.changer = new PrimaryChanger(
      {
        vm: settings.vm,
        incarnation: options.incarnation,
        store: {
          read: () => adapter.store.readLeadership(),
          write: (document, version) => adapter.store.writeLeadership(document, version),
        },
        peers,
        askTarget: (question, timeoutMs) => this.targetStatus.ask(question, timeoutMs),
        promote: adapter.promote,
        clock,
        random,
        logger,
        listProxies: () => this.follower.registry.list(),
        refreshProxies: () => this.follower.registry.refresh(),
        markMissed: (proxy) => adapter.store.markMissed(proxy),
        listHolders: (group) => this.forwarding.listGroupProxies(group),
        listTargets: (group) => this.listTargets(group),
        listGroups: () => this.forwarding.listOwnGroups(),
      },
      this.tracker,
    );
    this.directPorts = this.createDirectPorts();
    this.groups = this.owned.add(new GroupDirectory(this.directPorts));
    this.callers = new CallerRegistry(
      adapter.callerCodec,
      this.directPorts,
      this.groups,
      this.forwarding.createRunner(),
    );
    this.server = this.owned.add(
      new LineServer({
        address: settings.callers,
        maxLineBytes: adapter.maxLineBytes,
        findLineTimeoutMs: () => this.follower.servingConfig.lineTimeoutMs,
        accept: (connection) => this.callers.accept(connection),
      }),
    );
    this.drainer = new DrainKeeper({
      clock,
      logger,
      times: this.drainPlan,
      countInFlight: () => this.countInFlight(),
      onAnnounce: () => this.changer.stop(),
      onRefuseNew: () => {
        this.server.refuseNew();
        this.callers.drain();
      },
    });
  }

  /** Begins to serve. */
  async start(): Promise<void> {
    const { settings, logger, metrics } = this.options;
    await this.listenHealth(settings.readiness);
    if (metrics !== undefined) await this.listenHealth(metrics);
    await this.listenPeers();
    await this.forwarding.listen(this.directPorts, this.groups);
    await this.server.listen();
    logger.write(processEvents.started, { vm: settings.vm, dataCentre: settings.dataCentre });
    void this.follower.run();
  }

  /** Stops taking callers and waits until nothing is in flight, within the grace of the platform. */
  async drain(): Promise<void> {
    const { clock } = this.options;
    const ended = this.drainer.drain();
    await Promise.race([ended, clock.sleep(this.drainPlan.rollBackAfterMs)]);
    this.callers.endTransactions();
    this.forwarding.rollBackTransactions();
    await ended;
    this.rates.stop();
    await this.follower.leave();
  }

  /** Takes what can change without a restart from new settings. */
  setSettings(settings: NodeSettings): void {
    this.options.adapter.store.setAddress(settings.store);
    this.options.logger.write(nodeEvents.settingsRead, { vm: settings.vm });
  }

  dispose(): Promise<void> {
    this.follower.stop();
    this.changer.stop();
    return this.owned.dispose();
  }

  private createDirectPorts(): DirectPorts {
    const { adapter, clock, random, logger } = this.options;
    return {
      dialer: adapter.dialer,
      dataCentre: this.options.settings.dataCentre,
      primaries: this.tracker,
      clock,
      random,
      logger,
      getServingConfig: () => this.follower.servingConfig,
      findShareRule: (group, dataCentre) => this.forwarding.findShareRule(group, dataCentre),
      rates: this.rates.limiter,
      onStatement: (sample) => this.recordStatement(sample),
    };
  }

  private handlePoll(): void {
    const { registry, isPollingStore } = this.follower;
    this.rates.refresh();
    if (!registry.isRegistered()) return;
    this.changer.look();
    if (this.forwarding.isEnabled) this.proxyLiveness.checkProxies(registry.list(), isPollingStore);
  }

  private recordStatement({ outcome, effect, role, group, ms }: StatementSample): void {
    this.metrics.recordStatement(outcome, ms / 1000);
    if (outcome === "answered" && effect === "read" && role !== "none") {
      this.metrics.recordRead(group, role);
    }
  }

  private async listenHealth(address: Address): Promise<void> {
    const health = this.owned.add(
      new HealthServer({
        metrics: this.metrics,
        getState: () => ({
          configurationKnown: this.isReady(),
          leaving: this.drainer.isLeaving(),
        }),
        report: () => ({ vm: this.options.settings.vm, callers: this.callers.size }),
      }),
    );
    await health.listen(address);
  }

  private async listenPeers(): Promise<void> {
    const { peers } = this.options.settings;
    if (peers === undefined) return;
    const server = new DirectPeerServer(peers, {
      takeWord: (from, word) => this.applyUpdate(from, word),
      askTarget: (question) => this.targetStatus.ask(question, peerQuestionTimeoutMs),
      encodeScene: () => this.follower.encodeServingConfig(),
      giveTokens: (team, wanted) => this.rates.grantTokens(team, wanted),
    });
    await this.owned.add(server).listen();
  }

  private applyUpdate(from: string, update: LeadershipWord): LeadershipAnswer {
    this.tracker.adopt(update);
    this.proxyLiveness.recordContact(from);
    const { clock, settings } = this.options;
    const findAge = (at: number | undefined) => (at === undefined ? undefined : clock.now() - at);
    return {
      ...this.tracker.word,
      vm: settings.vm,
      listsAsker: this.follower.registry.hasListed(from),
      confirmedAgoMs: findAge(this.tracker.confirmedAt),
      storeAgoMs: findAge(this.tracker.storeAnswerAskedAt),
      storeRevision: this.follower.lastPoll?.revision,
      lookedAgoMs: findAge(this.follower.lastPoll?.requestedAt),
    };
  }

  /** Ready once the scene is known, and as long as primaries may be used. */
  private isReady(): boolean {
    const { clock, logger } = this.options;
    const now = clock.now();
    const { confirmedAt } = this.tracker;
    const { heardAt, registry, isUnlisted } = this.follower;
    const isPermitted = confirmedAt !== undefined && now - confirmedAt < maxUnconfirmedMs;
    // Nobody could run a statement for it: callers that came now would all be refused.
    const hasOthers = registry.list().some(({ isMissed }) => isMissed !== true);
    const isInTouch = hasOthers && heardAt !== undefined && now - heardAt < maxSilenceMs;
    const isReady = this.follower.isInitialised && (isUnlisted ? isInTouch : isPermitted);
    if (isReady !== this.wasReady) {
      this.wasReady = isReady;
      logger.write(nodeEvents.readinessChanged, { isReady });
      this.scheduleIdleClose(isReady);
    }
    return isReady;
  }

  /**
   * Closes idle sessions once the balancer passes this node by: they come back through another one,
   * and would otherwise be refused here for as long as the node is cut off.
   */
  private scheduleIdleClose(isReady: boolean): void {
    clearTimeout(this.idleCloseTimer);
    if (isReady) return;
    this.idleCloseTimer = setTimeout(() => this.callers.closeIdleNow(), balancerReactionMs).unref();
  }

  private applyServingConfig(scene: ServingConfig): void {
    this.groups.update(scene);
    this.rates.refresh();
    this.callers.endRevoked();
    this.metrics.setRevision(scene.revision);
  }

  /** Looks at the primaries once a miss is old enough to count, whenever the next look is due. */
  private schedulePrimaryCheck(): void {
    this.primaryCheckTimer ??= setTimeout(() => {
      this.primaryCheckTimer = undefined;
      this.changer.look();
    }, primaryCheckDelayMs).unref();
  }

  /** Asks at once who holds connections: a node that forwards hears of that by its own pace otherwise. */
  private refreshGateways(): void {
    const now = this.options.clock.now();
    if (!this.follower.isUnlisted || now - this.gatewayRefreshAt < gatewayRefreshIntervalMs) return;
    this.gatewayRefreshAt = now;
    this.follower.wake();
  }

  /** Tries a new connection to a primary that is silent, and looks at once if that stays silent too. */
  private async probe(group: string, target: string, since: number): Promise<void> {
    if (this.probing.has(group)) return;
    this.probing.add(group);
    const isReached = await this.targetStatus.probe(group, target);
    this.probing.delete(group);
    this.tracker.noteProbe(group, target, since, isReached);
    if (!isReached) this.changer.look();
  }

  private handleStall(): void {
    this.groups.forgetMarks();
    this.rates.handleStall();
    this.follower.wake();
  }

  private listTargets(group: string) {
    return this.follower.servingConfig.groups.get(group)?.targets ?? [];
  }

  private countInFlight(): number {
    return (
      this.callers.countBusy() + this.forwarding.countActive() + (this.changer.isWorking ? 1 : 0)
    );
  }
}

/** Between two such questions, in milliseconds: a whole gateway's callers may be refused at once. */
const gatewayRefreshIntervalMs = 200;
/** A little longer than a primary must have been missing to be suspected. */
const primaryCheckDelayMs = 270;
/** A peer's question about a target: as long as this process would wait for its own. */
const peerQuestionTimeoutMs = 200;
