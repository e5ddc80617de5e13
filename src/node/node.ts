import {
  CallerRegistry,
  GroupDirectory,
  type DirectPorts,
  type ServingConfig,
} from "../direct/index.js";
import { DirectPeerClient, DirectPeerServer } from "../directpeer/index.js";
import { DrainRunner } from "../fleet/drain.js";
import {
  LeadershipTracker,
  PrimaryChanger,
  StallDetector,
  type LeadershipAnswer,
  type LeadershipUpdate,
} from "../leadership/index.js";
import { LineServer } from "../lines/index.js";
import { nodeEvents } from "../log/events/node.js";
import { processEvents } from "../log/events/process.js";
import { createMetrics, HealthServer, type Metrics } from "../metric/index.js";
import { DisposableStore, type Address } from "../model/index.js";
import { StoreFollower } from "./follower.js";
import { Forwarding } from "./forwarding.js";
import { buildLeadershipAnswer } from "./leadership-answer.js";
import type { NodeOptions } from "./options.js";
import { PeerQuestions } from "./peer-questions.js";
import { StoredTargetRecords } from "./target-records.js";
import { TargetStatusClient } from "./target-status.js";
import { ProxyLivenessMonitor } from "./proxy-liveness.js";
import { planDrain, type DrainPlan } from "./drain.js";
import { countTokenRequests, createRemotePeers } from "./remote-peers.js";
import { ReadinessMonitor } from "./readiness.js";
import { RegionCheck } from "./region-check.js";
import { NodeRates } from "./rates.js";
import type { NodeSettings } from "./settings.js";
import { recordStatement } from "./statement-metrics.js";

/** A node that serves callers over direct connections to targets. */
export class Node {
  private readonly owned = new DisposableStore();
  private readonly metrics: Metrics;
  private readonly tracker: LeadershipTracker;
  private readonly targetStatus: TargetStatusClient;
  private readonly changer: PrimaryChanger;
  private readonly follower: StoreFollower;
  private readonly directPorts: DirectPorts;
  private readonly groups: GroupDirectory;
  private readonly callers: CallerRegistry;
  private readonly forwarding: Forwarding;
  private readonly proxyLiveness: ProxyLivenessMonitor;
  private readonly rates: NodeRates;
  private readonly regionCheck: RegionCheck;
  private readonly readiness: ReadinessMonitor;
  private readonly peerServer: DirectPeerServer | undefined;
  private readonly peerQuestions: PeerQuestions;
  private readonly server: LineServer;
  private readonly drainer: DrainRunner;
  private readonly drainPlan: DrainPlan;
  private drained: Promise<void> | undefined;
  private gatewayRefreshAt = -Infinity;
  private readonly probing = new Set<string>();
  private primaryCheckTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: NodeOptions) {
    const { settings, adapter, clock, random, logger } = options;
    this.peerServer = this.createPeerServer();
    // Released last: changes of primary have to reach this process while its permit is valid.
    if (this.peerServer !== undefined) this.owned.add(this.peerServer);
    this.metrics = createMetrics({ process: true });
    this.drainPlan = planDrain(settings.graceMs);
    this.regionCheck = new RegionCheck(settings.topology, logger);
    this.tracker = new LeadershipTracker({
      clock,
      logger,
      stallDetector: new StallDetector({ monotonic: () => clock.now(), wall: options.wallClock }),
      listTargets: (group) => this.listTargets(group),
      onStall: () => this.handleStall(),
      onContactFailure: () => this.schedulePrimaryCheck(),
      onSuperseded: (group, target) => this.groups.find(group)?.evict(target),
      onSilence: (group, target, since) => void this.probe(group, target, since),
    });
    this.targetStatus = new TargetStatusClient({
      adapter,
      clock,
      logger,
      listTargets: (group) => [
        ...this.listTargets(group),
        ...this.changer.listFormerTargets(group),
      ],
      hasReached: (group, target, since) => this.tracker.hasReached(group, target, since),
    });
    this.peerQuestions = new PeerQuestions({
      clock,
      targetStatus: this.targetStatus,
      tracker: this.tracker,
      isSlotPlanned: () => this.directPorts.isSlotPlanned(),
      onSilentPrimary: () => this.schedulePrimaryCheck(),
    });
    const remote = createRemotePeers(settings, this.metrics);
    const peers = new DirectPeerClient(settings.vm, logger, clock, remote);
    this.follower = new StoreFollower({
      settings,
      store: this.owned.add(adapter.store),
      peers,
      tracker: this.tracker,
      clock,
      random,
      logger,
      onServingConfig: (config) => this.applyServingConfig(config),
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
        random,
        logger,
        listProxies: () => this.follower.registry.list(),
        isListed: () => this.follower.registry.isRegistered(),
        isLeaving: () => this.drainer.isLeaving(),
        isPermitted: () => this.tracker.isPermitted,
        listGroups: () => [...this.follower.servingConfig.groups.keys()],
        findGroup: (group) => this.follower.servingConfig.groups.get(group),
        getServingConfig: () => this.follower.servingConfig,
        findLeader: (group) => this.tracker.findLeader(group),
        onNoneAccepted: () => this.refreshGateways(),
        grantTokens: (team, wanted) => this.rates.grantTokens(team, wanted),
        onEntryRefused: (group, level) => this.metrics.levels.recordEntryRefusal(group, level),
      }),
    );
    this.rates = this.owned.add(
      new NodeRates({
        settings,
        peers,
        gateways: countTokenRequests(this.forwarding, remote),
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
        topology: settings.topology,
        incarnation: options.incarnation,
        store: {
          read: () => adapter.store.readLeadership(),
          write: (document, version) => adapter.store.writeLeadership(document, version),
        },
        peers,
        askTarget: (question, timeoutMs) => this.peerQuestions.ask(question, timeoutMs),
        promote: this.owned.add(adapter.promotions).promote,
        clock,
        random,
        logger,
        listProxies: () => this.follower.registry.list(),
        refreshProxies: () => this.follower.registry.refresh(),
        markMissed: (proxy) => adapter.store.markMissed(proxy),
        listGroupProxies: (group) => this.forwarding.listGroupProxies(group),
        listTargets: (group) => this.listTargets(group),
        records: new StoredTargetRecords(adapter.store),
        isSynchronous: (group) =>
          this.follower.servingConfig.groups.get(group)?.isSynchronous === true,
        listGroups: () => this.forwarding.listOwnGroups(),
      },
      this.tracker,
    );
    this.directPorts = this.createDirectPorts();
    this.groups = this.owned.add(new GroupDirectory(this.directPorts));
    this.metrics.observeSlots(() => this.groups.listSlots());
    this.metrics.replicas.observe(() => this.groups.listReplicaDelays());
    this.metrics.observeGatewayShares(() => this.forwarding.listGatewayShares());
    this.callers = new CallerRegistry(
      adapter.callerCodec,
      this.directPorts,
      this.groups,
      this.forwarding.createRunner(),
    );
    this.readiness = this.owned.add(
      new ReadinessMonitor({
        clock,
        logger,
        topology: settings.topology,
        tracker: this.tracker,
        follower: this.follower,
        closeIdleCallers: () => this.callers.closeIdleNow(),
      }),
    );
    this.server = this.owned.add(
      new LineServer({
        address: settings.callers,
        maxLineBytes: adapter.maxLineBytes,
        getLineTimeoutMs: () => this.follower.servingConfig.lineTimeoutMs,
        accept: (connection) => this.callers.accept(connection),
      }),
    );
    this.drainer = new DrainRunner({
      clock,
      logger,
      timings: this.drainPlan,
      countInFlight: () => this.countInFlight(),
      onAnnounce: () => this.changer.stop(),
      onRefuseNew: () => {
        this.server.stopAccepting();
        this.callers.drain();
      },
    });
  }

  /** Starts all servers and polling. */
  async start(): Promise<void> {
    const { settings, logger, metrics } = this.options;
    await this.listenHealth(settings.readiness);
    if (metrics !== undefined) await this.listenHealth(metrics);
    // Before the first request to the store or a peer, which may give a permit: changes of primary have to reach this
    // process then, or wait until the permit has expired.
    await this.peerServer?.listen();
    await this.forwarding.listen(this.directPorts, this.groups);
    await this.server.listen();
    logger.write(processEvents.started, { vm: settings.vm, dataCentre: settings.dataCentre });
    this.regionCheck.check([settings.dataCentre, ...settings.topology.listWithoutRegion()]);
    for (const { field, value } of settings.invalidCapacities ?? [])
      logger.write(nodeEvents.capacityInvalid, { proxy: settings.vm, field, value });
    void this.follower.run();
  }

  /** Stops accepting callers and waits until nothing is in flight, within the platform's grace period. */
  drain(): Promise<void> {
    this.drained ??= this.runDrain();
    return this.drained;
  }

  private async runDrain(): Promise<void> {
    const { clock } = this.options;
    const { endWorkAfterMs, cancelWaitingAfterMs } = this.drainPlan;
    const ended = this.drainer.drain();
    await Promise.race([ended, clock.sleep(endWorkAfterMs)]);
    this.callers.endWork();
    this.forwarding.endTransactions();
    await Promise.race([ended, clock.sleep(cancelWaitingAfterMs - endWorkAfterMs)]);
    this.callers.cancelWaiting();
    this.forwarding.cancelWaiting();
    await ended;
    this.rates.stop();
    await this.follower.leave();
  }

  /** Applies the settings that can change without a restart: the address of the store. */
  setSettings(settings: NodeSettings): void {
    this.options.adapter.store.setAddress(settings.store);
    this.options.logger.write(nodeEvents.settingsReloaded, { vm: settings.vm });
  }

  /** Stops at once. The permit is void before anything closes, and the peer address closes last. */
  dispose(): Promise<void> {
    this.tracker.revokePermit();
    this.follower.stop();
    this.changer.stop();
    return this.owned.dispose();
  }

  private createDirectPorts(): DirectPorts {
    const { adapter, clock, random, logger } = this.options;
    return {
      dialer: adapter.dialer,
      dataCentre: this.options.settings.dataCentre,
      topology: this.options.settings.topology,
      isSlotPlanned: () => this.forwarding.isSlotPlanned(this.follower.servingConfig),
      primaries: this.tracker,
      hasDrained: (target) => this.follower.hasDrained(target),
      clock,
      random,
      logger,
      getServingConfig: () => this.follower.servingConfig,
      findShareRule: (group, dataCentre) => this.forwarding.findShareRule(group, dataCentre),
      rates: this.rates.limiter,
      onCrossing: (kind) => this.metrics.recordCrossing(kind),
      onStatement: (sample) => recordStatement(this.metrics, sample),
      onRedirect: (group) => this.metrics.recordRedirect(group),
      onExpectedWrong: (group) => this.metrics.replicas.recordExpectedWrong(group),
      onSlotWait: (group, wait) => this.metrics.levels.recordAdmission({ group, ...wait }),
    };
  }

  private handlePoll(): void {
    const { registry, isPollingStore } = this.follower;
    this.rates.refresh();
    this.regionCheck.check(registry.list().map(({ dataCentre }) => dataCentre ?? ""));
    if (!registry.isRegistered()) return;
    this.changer.checkGroups();
    if (this.forwarding.isEnabled) this.proxyLiveness.checkProxies(registry.list(), isPollingStore);
  }

  private async listenHealth(address: Address): Promise<void> {
    const health = this.owned.add(
      new HealthServer({
        metrics: this.metrics,
        getState: () => ({
          isConfigurationKnown: this.readiness.isReady(),
          isLeaving: this.drainer.isLeaving(),
        }),
        getReport: () => ({ vm: this.options.settings.vm, callers: this.callers.size }),
      }),
    );
    await health.listen(address);
  }

  private createPeerServer(): DirectPeerServer | undefined {
    const { peers } = this.options.settings;
    if (peers === undefined) return undefined;
    return new DirectPeerServer(peers, {
      receiveLeadership: (from, update) => this.applyUpdate(from, update),
      askTarget: (question) => this.peerQuestions.answer(question),
      encodeScene: () => this.follower.encodeServingConfig(),
      grantTokens: (team, wanted) => this.rates.grantTokens(team, wanted),
    });
  }

  private applyUpdate(from: string, update: LeadershipUpdate): LeadershipAnswer {
    this.tracker.adopt(update);
    this.proxyLiveness.recordContact(from);
    const { clock, settings } = this.options;
    const { tracker, follower } = this;
    return buildLeadershipAnswer({ vm: settings.vm, clock, tracker, follower }, from);
  }

  private applyServingConfig(config: ServingConfig): void {
    this.groups.update(config);
    const targets = [...config.groups.values()].flatMap((group) => group.targets);
    this.regionCheck.check(targets.map(({ dataCentre }) => dataCentre));
    this.forwarding.updateSlotPlan(config);
    this.rates.refresh();
    this.callers.endRevoked();
    this.metrics.setRevision(config.revision);
  }

  /** Checks the primaries when a failure is old enough to raise suspicion, without awaiting the next poll. */
  private schedulePrimaryCheck(): void {
    this.primaryCheckTimer ??= setTimeout(() => {
      this.primaryCheckTimer = undefined;
      this.changer.checkGroups();
    }, primaryCheckDelayMs).unref();
  }

  /** Polls at once for the current gateways; an unlisted node would otherwise wait for its next poll. */
  private refreshGateways(): void {
    const now = this.options.clock.now();
    if (!this.follower.isUnlisted || now - this.gatewayRefreshAt < gatewayRefreshIntervalMs) return;
    this.gatewayRefreshAt = now;
    this.follower.wake();
  }

  /** Tries a new connection to a silent primary, and checks the primaries at once if that fails too. */
  private async probe(group: string, target: string, since: number): Promise<void> {
    if (this.probing.has(group)) return;
    this.probing.add(group);
    const isReached = await this.targetStatus.probe(group, target);
    this.probing.delete(group);
    this.tracker.noteProbeResult(group, target, since, isReached);
    if (!isReached) this.changer.checkGroups();
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
      this.callers.countBusy() + this.forwarding.countActive() + (this.changer.isChanging ? 1 : 0)
    );
  }
}

/** Shortest interval between such polls, in milliseconds: all callers of a gateway may be refused at once. */
const gatewayRefreshIntervalMs = 200;
/** In milliseconds; slightly longer than a primary must have been failing to be suspected. */
const primaryCheckDelayMs = 270;
