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
  LeadershipTracker,
  PrimaryChanger,
  StallDetector,
  type LeadershipAnswer,
  type LeadershipUpdate,
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
import { TargetQuestioner } from "./questioner.js";
import { ProxyWatch } from "./watch.js";
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
const unpermittedMs = 1300;
/**
 * Without a word from anybody for this long a node that forwards statements tells the balancer so, in
 * milliseconds: two questions and a look at the store have failed then.
 */
const unheardMs = 2500;
/** The balancer asks once a second and believes two answers; only then do callers come elsewhere. */
const passedByMs = 2300;

/** One node that serves callers by direct connections to targets. */
export class Node {
  private readonly owned = new DisposableStore();
  private readonly metrics: Metrics;
  private readonly keeper: LeadershipTracker;
  private readonly questioner: TargetQuestioner;
  private readonly changer: PrimaryChanger;
  private readonly follower: StoreFollower;
  private readonly directPorts: DirectPorts;
  private readonly groups: GroupDirectory;
  private readonly callers: CallerRegistry;
  private readonly forwarding: Forwarding;
  private readonly watch: ProxyWatch;
  private readonly rates: NodeRates;
  private readonly server: LineServer;
  private readonly drainer: DrainKeeper;
  private readonly drainPlan: DrainPlan;
  private wasReady = false;
  private askedForGatewaysAt = -Infinity;
  private readonly probing = new Set<string>();
  private moveTimer: NodeJS.Timeout | undefined;
  private missTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: NodeOptions) {
    const { settings, adapter, clock, random, logger } = options;
    this.metrics = createMetrics({ process: true });
    this.drainPlan = planDrain(settings.graceMs);
    this.keeper = new LeadershipTracker({
      clock,
      logger,
      stallDetector: new StallDetector({ monotonic: () => clock.now(), wall: options.wallClock }),
      listTargets: (group) => this.listTargets(group),
      onStall: () => this.noteStall(),
      onContactFailure: () => this.lookSoon(),
      onSuperseded: (group, target) => this.groups.find(group)?.evict(target),
      onSilence: (group, target, since) => void this.probe(group, target, since),
    });
    this.questioner = new TargetQuestioner({
      adapter,
      clock,
      logger,
      listTargets: (group) => this.listTargets(group),
      hasReached: (group, target, since) => this.keeper.hasReached(group, target, since),
    });
    const peers = new DirectPeerClient(settings.vm, logger);
    this.follower = new StoreFollower({
      settings,
      store: this.owned.add(adapter.store),
      peers,
      keeper: this.keeper,
      clock,
      random,
      logger,
      onScene: (scene) => this.noteScene(scene),
      onLook: () => this.noteLook(),
    });
    this.watch = new ProxyWatch({
      vm: settings.vm,
      dataCentre: settings.dataCentre,
      peers,
      keeper: this.keeper,
      clock,
      logger,
      markMissed: (proxy) => adapter.store.markMissed(proxy),
    });
    this.forwarding = this.owned.add(
      new Forwarding({
        settings,
        clock,
        logger,
        listProxies: () => this.follower.members.list(),
        isListed: () => this.follower.members.isRegistered(),
        isLeaving: () => this.drainer.isLeaving(),
        isPermitted: () => this.keeper.isPermitted,
        listGroups: () => [...this.follower.scene.groups.keys()],
        findGroup: (group) => this.follower.scene.groups.get(group),
        findLeader: (group) => this.keeper.findLeader(group),
        onNobody: () => this.askForGateways(),
      }),
    );
    this.rates = this.owned.add(
      new NodeRates({
        settings,
        peers,
        keeper: this.keeper,
        members: () => this.follower.members,
        findLookedAt: () => this.follower.known?.askedAt,
        clock,
        random,
        logger,
        scene: () => this.follower.scene,
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
        askTarget: (question, timeoutMs) => this.questioner.ask(question, timeoutMs),
        promote: adapter.promote,
        clock,
        random,
        logger,
        listProxies: () => this.follower.members.list(),
        refreshProxies: () => this.follower.members.refresh(),
        markMissed: (proxy) => adapter.store.markMissed(proxy),
        listGroupProxies: (group) => this.forwarding.listHolders(group),
        listTargets: (group) => this.listTargets(group),
        listGroups: () => this.forwarding.listOwnGroups(),
      },
      this.keeper,
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
        getLineTimeoutMs: () => this.follower.scene.lineTimeoutMs,
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
        this.server.stopAccepting();
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
    await Promise.race([ended, clock.sleep(this.drainPlan.transactionMs)]);
    this.callers.endTransactions();
    this.forwarding.endTransactions();
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
      primaries: this.keeper,
      clock,
      random,
      logger,
      getServingConfig: () => this.follower.scene,
      findShareRule: (group, dataCentre) => this.forwarding.findHolding(group, dataCentre),
      rates: this.rates.gate,
      onStatement: (sample) => this.recordStatement(sample),
    };
  }

  private noteLook(): void {
    const { members, isReading } = this.follower;
    this.rates.look();
    if (!members.isRegistered()) return;
    this.changer.checkGroups();
    if (this.forwarding.isOn) this.watch.look(members.list(), isReading);
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
      receiveLeadership: (from, word) => this.takeWord(from, word),
      askTarget: (question) => this.questioner.ask(question, peerAskMs),
      encodeScene: () => this.follower.encodeScene(),
      grantTokens: (team, wanted) => this.rates.give(team, wanted),
    });
    await this.owned.add(server).listen();
  }

  private takeWord(from: string, word: LeadershipUpdate): LeadershipAnswer {
    this.keeper.adopt(word);
    this.watch.hear(from);
    const { clock, settings } = this.options;
    const findAge = (at: number | undefined) => (at === undefined ? undefined : clock.now() - at);
    return {
      ...this.keeper.latestUpdate,
      vm: settings.vm,
      listsAsker: this.follower.members.has(from),
      confirmedAgoMs: findAge(this.keeper.confirmedAt),
      storeAgoMs: findAge(this.keeper.lastAnsweredStoreQueryAt),
      storeRevision: this.follower.known?.revision,
      lookedAgoMs: findAge(this.follower.known?.askedAt),
    };
  }

  /** Ready once the scene is known, and as long as primaries may be used. */
  private isReady(): boolean {
    const { clock, logger } = this.options;
    const now = clock.now();
    const { confirmedAt } = this.keeper;
    const { heardAt, members, isUnlisted } = this.follower;
    const isPermitted = confirmedAt !== undefined && now - confirmedAt < unpermittedMs;
    // Nobody could run a statement for it: callers that came now would all be refused.
    const hasOthers = members.list().some(({ isMissed }) => isMissed !== true);
    const isInTouch = hasOthers && heardAt !== undefined && now - heardAt < unheardMs;
    const isReady = this.follower.isInformed && (isUnlisted ? isInTouch : isPermitted);
    if (isReady !== this.wasReady) {
      this.wasReady = isReady;
      logger.write(nodeEvents.readinessChanged, { isReady });
      this.planMove(isReady);
    }
    return isReady;
  }

  /**
   * Closes idle sessions once the balancer passes this node by: they come back through another one,
   * and would otherwise be refused here for as long as the node is cut off.
   */
  private planMove(isReady: boolean): void {
    clearTimeout(this.moveTimer);
    if (isReady) return;
    this.moveTimer = setTimeout(() => this.callers.closeIdleNow(), passedByMs).unref();
  }

  private noteScene(scene: ServingConfig): void {
    this.groups.update(scene);
    this.rates.look();
    this.callers.endRevoked();
    this.metrics.setRevision(scene.revision);
  }

  /** Looks at the primaries once a miss is old enough to count, whenever the next look is due. */
  private lookSoon(): void {
    this.missTimer ??= setTimeout(() => {
      this.missTimer = undefined;
      this.changer.checkGroups();
    }, missLookMs).unref();
  }

  /** Asks at once who holds connections: a node that forwards hears of that by its own pace otherwise. */
  private askForGateways(): void {
    const now = this.options.clock.now();
    if (!this.follower.isUnlisted || now - this.askedForGatewaysAt < askForGatewaysMs) return;
    this.askedForGatewaysAt = now;
    this.follower.wake();
  }

  /** Tries a new connection to a primary that is silent, and looks at once if that stays silent too. */
  private async probe(group: string, target: string, since: number): Promise<void> {
    if (this.probing.has(group)) return;
    this.probing.add(group);
    const isReached = await this.questioner.probe(group, target);
    this.probing.delete(group);
    this.keeper.noteProbeResult(group, target, since, isReached);
    if (!isReached) this.changer.checkGroups();
  }

  private noteStall(): void {
    this.groups.forgetMarks();
    this.rates.noteStall();
    this.follower.wake();
  }

  private listTargets(group: string) {
    return this.follower.scene.groups.get(group)?.targets ?? [];
  }

  private countInFlight(): number {
    return (
      this.callers.countBusy() + this.forwarding.countBusy() + (this.changer.isChanging ? 1 : 0)
    );
  }
}

/** Between two such questions, in milliseconds: a whole gateway's callers may be refused at once. */
const askForGatewaysMs = 200;
/** A little longer than a primary must have been missing to be suspected. */
const missLookMs = 270;
/** A peer's question about a target: as long as this process would wait for its own. */
const peerAskMs = 200;
