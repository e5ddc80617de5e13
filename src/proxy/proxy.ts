import type { CallerServer, RuleDecision } from "../caller/index.js";
import type { ProxyReport } from "../report/index.js";
import { DrainKeeper } from "../fleet/index.js";
import { processEvents } from "../log/events/process.js";
import { createMetrics, HealthServer, type Metrics } from "../metric/index.js";
import { DisposableStore, type Address, type RequestTraits, type Team } from "../model/index.js";
import { PeerServer } from "../peer/index.js";
import { matchRule } from "../policy/index.js";
import { loadParser } from "../sql/index.js";
import { createCallerServer } from "./callers.js";
import { FleetGroups } from "./groups.js";
import { createPeerHandlers } from "./handlers.js";
import { FleetMembers } from "./members.js";
import type { ProxyPorts } from "./ports.js";
import { describeGroup, encodeReport } from "./report.js";
import { describeClientSecurity, loadCertificates, type Certificates } from "./security.js";
import { countCalls, openStore } from "./store.js";

/** Between two counts of the callers for the metrics, in milliseconds. */
const countMs = 1000;

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
  private readonly members: FleetMembers;
  private readonly groups: FleetGroups;
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
    const { settings, logger } = ports;
    const { metrics, owned } = this;
    this.watchInvariants();
    for (const side of [certificates.callers, certificates.peers]) {
      if (side !== undefined) owned.add(side);
    }
    const store = owned.add(countCalls(openStore(settings, logger), metrics));
    const security = describeClientSecurity(certificates);
    this.members = owned.add(new FleetMembers(ports, store, security));
    this.groups = owned.add(new FleetGroups(ports, this.members, store, metrics));
    this.peerServer = owned.add(this.createPeerServer());
    this.callers = owned.add(this.createCallers());
    this.health = owned.add(this.createHealth());
    this.drainKeeper = this.createDrain();
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
    await loadParser();
    const { health, peers } = await this.listen();
    await this.members.membership.start();
    await this.groups.start();
    await this.followConfiguration();
    this.members.membership.setState("ready");
    const callers = await this.callers.listen();
    this.countCallers();
    this.isReady = true;
    this.ports.logger.write(processEvents.ready, { callers, peers, health });
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
    const { membership, configuration } = this.members;
    return {
      vm: settings.vm,
      dataCentre: settings.dataCentre,
      incarnation,
      state: this.findState(),
      revision: configuration.current().revision,
      callers: this.callers.connectionCount,
      members: membership.view().map(({ vm, status }) => ({
        name: vm.name,
        dataCentre: vm.dataCentre,
        ...vm.peer,
        status,
      })),
      groups: this.groups.owner.list().map(describeGroup),
    };
  }

  private findState(): ProxyReport["state"] {
    if (this.drainKeeper.isLeaving()) return "leaving";
    return this.isReady ? "ready" : "starting";
  }

  private watchInvariants(): void {
    const { logger } = this.ports;
    this.owned.add(
      this.metrics.observeViolations((invariant, detail) => {
        logger.write(processEvents.invariantBroken, { invariant, detail });
      }),
    );
  }

  private countCallers(): void {
    const timer = setInterval(() => {
      this.metrics.setCallers(this.callers.connectionCount);
    }, countMs);
    this.owned.defer(() => {
      clearInterval(timer);
    });
  }

  private createPeerServer(): PeerServer {
    const { settings, logger, clock } = this.ports;
    const { peers } = this.certificates;
    const report = () => encodeReport(this.report());
    const handlers = createPeerHandlers(this.members, this.groups, report);
    const options = { address: settings.listen.peers, handlers, clock, logger };
    if (peers === undefined) return new PeerServer(options);
    const server = new PeerServer({ ...options, secure: peers.getServerOptions() });
    peers.subscribe(() => {
      server.setSecureContext(peers.getServerOptions());
    });
    return server;
  }

  private createCallers(): CallerServer {
    const { settings, logger, clock } = this.ports;
    return createCallerServer({
      settings,
      clock,
      logger,
      certificates: this.certificates.callers,
      gateway: this.groups.gateway,
      hasGroup: (name) => this.groups.has(name),
      match: (traits) => this.match(traits),
      findTeam: (name) => this.teams.get(name),
    });
  }

  private createHealth(): HealthServer {
    const { configuration } = this.members;
    return new HealthServer({
      metrics: this.metrics,
      getState: () => ({
        isConfigurationKnown: configuration.isKnown(),
        isLeaving: this.drainKeeper.isLeaving(),
      }),
      getSummary: () => ({
        vm: this.ports.settings.vm,
        revision: configuration.current().revision,
      }),
      getReport: () => encodeReport(this.report()),
      getConfiguration: () => {
        const found = configuration.answerFetch(0);
        return found.type === "found" ? found.value : undefined;
      },
      startDrain: () => void this.drain(),
    });
  }

  private createDrain(): DrainKeeper {
    const { clock, logger, settings } = this.ports;
    const { owner } = this.groups;
    return new DrainKeeper({
      clock,
      logger,
      times: settings.drain,
      countInFlight: () => owner.countConversations() + this.callers.connectionCount,
      describeInFlight: () => ({
        conversations: owner.countConversations(),
        callers: this.callers.connectionCount,
      }),
      onAnnounce: () => {
        this.members.membership.setState("leaving");
      },
      onRefuseNew: () => {
        owner.drain();
        void this.callers.drain();
      },
    });
  }

  private match(traits: RequestTraits): RuleDecision {
    const { name, then } = matchRule(this.members.configuration.current(), traits);
    return { rule: name, action: then };
  }

  private async followConfiguration(): Promise<void> {
    const { configuration } = this.members;
    const take = () => {
      const { teams, revision } = configuration.current();
      this.teams = new Map(teams.map((team) => [team.name, team]));
      this.metrics.setRevision(revision);
    };
    this.owned.add(configuration.subscribe(take));
    await configuration.start();
    take();
  }
}
