import type { CallerServer, RuleDecision } from "../caller/index.js";
import type { ProxyReport } from "../command/index.js";
import { ConfigurationKeeper, DrainKeeper, MembershipKeeper } from "../fleet/index.js";
import { processEvents } from "../log/events/process.js";
import type { Logger } from "../log/index.js";
import { createMetrics, HealthServer, type Metrics } from "../metric/index.js";
import {
  DisposableStore,
  type Address,
  type Clock,
  type Random,
  type RequestTraits,
  type Target,
  type Team,
  type Vm,
} from "../model/index.js";
import { OwnerGateway } from "../owner/index.js";
import {
  ConnectPeerClient,
  PeerLinks,
  PeerServer,
  RemoteGateway,
  type PeerHandlers,
} from "../peer/index.js";
import { HttpObjectStore } from "../platform/index.js";
import { matchRule } from "../policy/index.js";
import type { ProxySettings } from "../settings/index.js";
import { loadParser } from "../sql/index.js";
import { PgTargetConnector, PgTargetControl } from "../target/index.js";
import { createCallerServer } from "./callers.js";
import { GroupDirectory } from "./directory.js";
import { FleetGateway } from "./gateway.js";
import { createMetricHooks } from "./hooks.js";
import { describeGroup, encodeReport } from "./report.js";
import { describeClientSecurity, loadCertificates, type Certificates } from "./security.js";

const helperCount = 3;
const tendMs = 1000;

/** What a proxy runs on. */
export interface ProxyPorts {
  readonly settings: ProxySettings;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly random: Random;
  /** Differs between two runs of the process on one VM, and grows. */
  readonly incarnation: string;
}

/** Where a proxy listens, once it does. */
export interface ProxyAddresses {
  readonly callers: Address;
  readonly peers: Address;
  readonly health: Address;
}

/** One proxy: every part of the system that runs on an entry VM. */
export class Proxy {
  readonly metrics: Metrics = createMetrics({ process: true });
  private readonly owned = new DisposableStore();
  private readonly store: HttpObjectStore;
  private readonly control: PgTargetControl;
  private readonly membership: MembershipKeeper;
  private readonly configuration: ConfigurationKeeper;
  private readonly directory: GroupDirectory;
  private readonly owner: OwnerGateway;
  private readonly gateway: FleetGateway;
  private readonly callers: CallerServer;
  private readonly peerServer: PeerServer;
  private readonly health: HealthServer;
  private readonly drainKeeper: DrainKeeper;
  private listening: Omit<ProxyAddresses, "callers"> | undefined;
  private isReady = false;
  private teams: ReadonlyMap<string, Team> = new Map();

  /** Puts a proxy together. Rejects when a certificate can't be read. */
  static async create(ports: ProxyPorts): Promise<Proxy> {
    return new Proxy(ports, await loadCertificates(ports));
  }

  private constructor(
    private readonly ports: ProxyPorts,
    private readonly certificates: Certificates,
  ) {
    const { settings, logger, clock, random } = ports;
    const { metrics, owned } = this;
    owned.add(
      metrics.observeViolations((invariant, detail) => {
        logger.write(processEvents.invariantBroken, { invariant, detail });
      }),
    );
    this.store = owned.add(createStore(settings, logger));
    this.control = owned.add(new PgTargetControl());
    if (certificates.callers !== undefined) owned.add(certificates.callers);
    if (certificates.peers !== undefined) owned.add(certificates.peers);
    const links = owned.add(new PeerLinks({ clock, ...describeClientSecurity(certificates) }));
    const peers = new ConnectPeerClient({
      links,
      getHello: () => this.membership.describe(),
      onHello: (hello) => {
        this.membership.hear(hello);
      },
    });
    this.membership = owned.add(
      new MembershipKeeper({
        vm: describeVm(settings),
        incarnation: ports.incarnation,
        store: this.store,
        peers,
        clock,
        random,
        logger,
        getRevision: () => this.configuration.current().revision,
        seeds: settings.seeds,
        onHello: (hello) => {
          this.configuration.hear(hello);
        },
      }),
    );
    this.configuration = owned.add(
      new ConfigurationKeeper({
        vm: settings.vm,
        store: this.store,
        peers,
        clock,
        random,
        logger,
        listLive: () => this.membership.listLive(),
      }),
    );
    this.owner = owned.add(
      new OwnerGateway({
        vm: settings.vm,
        connector: new PgTargetConnector(),
        control: this.control,
        peers,
        clock,
        random,
        logger,
        hooks: createMetricHooks(metrics),
        findHelpers: () => this.membership.findHelpers(helperCount),
      }),
    );
    this.directory = owned.add(
      new GroupDirectory({
        store: this.store,
        clock,
        logger,
        countVms: () => this.membership.listLive().length,
        onChange: () => {
          this.placeGroups();
        },
      }),
    );
    const remote = new RemoteGateway({
      links,
      clock,
      getHello: () => this.membership.describe(),
      findOwner: (group) => this.gateway.findOther(group),
      onBroken: (vm) => {
        this.gateway.noteBroken(vm.name);
        this.membership.doubt(vm.name);
      },
    });
    this.gateway = new FleetGateway({
      vm: settings.vm,
      clock,
      listLive: () => this.membership.listLive(),
      owner: this.owner,
      remote,
    });
    this.peerServer = owned.add(this.createPeerServer());
    this.callers = owned.add(
      createCallerServer({
        settings,
        clock,
        logger,
        certificates: certificates.callers,
        gateway: this.gateway,
        hasGroup: (name) => this.directory.list().has(name),
        match: (traits) => this.match(traits),
        findTeam: (name) => this.teams.get(name),
      }),
    );
    this.health = owned.add(
      new HealthServer({
        metrics,
        getState: () => ({
          configurationKnown: this.configuration.isKnown(),
          leaving: this.drainKeeper.isLeaving(),
        }),
        summarise: () => ({
          vm: settings.vm,
          revision: this.configuration.current().revision,
        }),
        report: () => encodeReport(this.report()),
        configuration: () => {
          const found = this.configuration.answerFetch(0);
          return found.type === "found" ? found.value : undefined;
        },
        drain: () => void this.drain(),
      }),
    );
    this.drainKeeper = new DrainKeeper({
      clock,
      logger,
      times: settings.drain,
      countInFlight: () => this.owner.countConversations() + this.callers.connectionCount,
      onAnnounce: () => {
        this.membership.setState("leaving");
      },
      onRefuseNew: () => {
        this.owner.drain();
        void this.callers.drain();
      },
    });
  }

  /** Begins to answer peers and operators, not yet callers. `start` does so unless it was done. */
  async listen(): Promise<Omit<ProxyAddresses, "callers">> {
    const { listen } = this.ports.settings;
    this.listening ??= {
      health: await this.health.listen(listen.health),
      peers: await this.peerServer.listen(),
    };
    return this.listening;
  }

  /** Starts every part; resolves when the proxy is ready for callers. */
  async start(): Promise<ProxyAddresses> {
    const { logger } = this.ports;
    await loadParser();
    const { health, peers } = await this.listen();
    await this.membership.start();
    await this.directory.start();
    this.followMembership();
    await this.followConfiguration();
    this.membership.setState("ready");
    const callers = await this.callers.listen();
    this.tendGroups();
    this.isReady = true;
    logger.write(processEvents.ready, { callers, peers, health });
    return { callers, peers, health };
  }

  /** Leaves the fleet: nothing that is in flight is cut off within the settings' limit. */
  async drain(): Promise<void> {
    await this.drainKeeper.drain();
  }

  dispose(): Promise<void> {
    return this.owned.dispose();
  }

  /** What this process says of itself to operators. */
  report(): ProxyReport {
    const { settings, incarnation } = this.ports;
    return {
      vm: settings.vm,
      dataCentre: settings.dataCentre,
      incarnation,
      state: this.findState(),
      revision: this.configuration.current().revision,
      callers: this.callers.connectionCount,
      members: this.membership.view().map(({ vm, status }) => ({
        name: vm.name,
        dataCentre: vm.dataCentre,
        ...vm.peer,
        status,
      })),
      groups: this.owner.list().map(describeGroup),
    };
  }

  private findState(): ProxyReport["state"] {
    if (this.drainKeeper.isLeaving()) return "leaving";
    return this.isReady ? "ready" : "starting";
  }

  private createPeerServer(): PeerServer {
    const { settings, logger, clock } = this.ports;
    const { peers } = this.certificates;
    const address = settings.listen.peers;
    const handlers = this.createHandlers();
    if (peers === undefined) return new PeerServer({ address, handlers, clock, logger });
    const secure = peers.getServerOptions();
    const server = new PeerServer({ address, handlers, clock, logger, secure });
    peers.subscribe(() => {
      server.setSecureContext(peers.getServerOptions());
    });
    return server;
  }

  private createHandlers(): PeerHandlers {
    return {
      getHello: () => this.membership.describe(),
      onHello: (hello) => {
        this.membership.receive(hello);
      },
      // Who asks takes this process for the owner. Serving it costs connections at the worst;
      // passing it on would let two processes that disagree send it back and forth.
      chooseOwner: (group) => {
        const owner = this.gateway.findSuccessor(group);
        if (owner !== undefined) return { type: "elsewhere", owner };
        return { type: "here", gateway: this.owner };
      },
      probe: (vm) => this.membership.relayProbe(vm),
      checkTarget: (group, name, timeoutMs) => {
        const target = this.findTarget(group, name);
        if (target === undefined) {
          return Promise.resolve({ type: "unreachable", reason: "the target is not known here" });
        }
        return this.control.status(target, { timeoutMs, fresh: true });
      },
      fetchConfiguration: (afterRevision) =>
        Promise.resolve(this.configuration.answerFetch(afterRevision)),
      pushConfiguration: (json) => Promise.resolve(this.configuration.receive(json)),
      report: () => encodeReport(this.report()),
    };
  }

  private findTarget(group: string, target: string): Target | undefined {
    return this.directory
      .list()
      .get(group)
      ?.targets.find((t) => t.name === target);
  }

  private match(traits: RequestTraits): RuleDecision {
    const { name, then } = matchRule(this.configuration.current(), traits);
    return { rule: name, action: then };
  }

  private followMembership(): void {
    this.owned.add(
      this.membership.subscribe(() => {
        this.placeGroups();
      }),
    );
    this.placeGroups();
  }

  private async followConfiguration(): Promise<void> {
    const take = () => {
      const { teams, revision } = this.configuration.current();
      this.teams = new Map(teams.map((team) => [team.name, team]));
      this.metrics.setRevision(revision);
    };
    this.owned.add(this.configuration.subscribe(take));
    await this.configuration.start();
    take();
  }

  /** Opens the groups that this process owns now. */
  private placeGroups(): void {
    const groups = this.directory.list();
    const owned = [...groups.keys()].filter((name) => this.gateway.isOwned(name));
    this.owner.setGroups(groups, new Set(owned));
  }

  private tendGroups(): void {
    const timer = setInterval(() => {
      void this.owner.tend();
      this.metrics.setCallers(this.callers.connectionCount);
    }, tendMs);
    this.owned.defer(() => {
      clearInterval(timer);
    });
  }
}

function createStore(settings: ProxySettings, logger: Logger): HttpObjectStore {
  const [platform] = settings.platform;
  if (platform === undefined) throw new Error("the settings name no platform");
  return new HttpObjectStore({
    url: `http://${platform.host}:${platform.port}`,
    timeoutMs: settings.deadlines.storeMs,
    logger,
  });
}

function describeVm({ vm, dataCentre, listen }: ProxySettings): Vm {
  return { name: vm, dataCentre, peer: listen.peers, state: "live" };
}
