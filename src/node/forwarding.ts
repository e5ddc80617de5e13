import type {
  DirectPorts,
  GroupDirectory,
  ServingConfig,
  ShareRule,
  PrimaryState,
  WorkRunner,
} from "../direct/index.js";
import { buildEqualShare, directRunner, hasLevels, type AnnouncedGroup } from "../direct/index.js";
import {
  EntryLoads,
  GatewayConnections,
  GatewayRouter,
  GatewayServer,
  PositionWatch,
  GatewayShares,
  type GatewayShareSample,
  RoutedRunner,
  SlotTakeover,
  type TokenResult,
} from "../gateway/index.js";
import type { TokenRequest } from "../directpeer/index.js";
import type { Proxy } from "../leadership/index.js";
import type { Logger } from "../log/index.js";
import { DisposableStore, type Clock, type Disposable, type Random } from "../model/index.js";
import type { TokenGrant } from "../rates/index.js";
import type { NodeSettings } from "./settings.js";

/** The dependencies of `Forwarding`. */
export interface ForwardingPorts {
  readonly settings: Pick<NodeSettings, "vm" | "dataCentre" | "topology" | "gateway">;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly listProxies: () => readonly Proxy[];
  readonly isListed: () => boolean;
  readonly isLeaving: () => boolean;
  /** Whether this node's permit to use primaries is valid. */
  readonly isPermitted: () => boolean;
  readonly listGroups: () => readonly string[];
  readonly findGroup: (group: string) => AnnouncedGroup | undefined;
  readonly getServingConfig: () => ServingConfig;
  readonly findLeader: (group: string) => PrimaryState;
  /** Called when no known gateway accepted a statement. */
  readonly onNoneAccepted: () => void;
  /** Transfers tokens of a team to another node. */
  readonly grantTokens: (team: string, wanted: number) => TokenGrant;
  /** Called for each statement that is refused by the gateways' load reports. */
  readonly onEntryRefused: (group: string, level: number) => void;
}

/** Forwards this node's statements to gateways, and runs statements as a gateway of other nodes. */
export class Forwarding implements Disposable {
  private readonly owned = new DisposableStore();
  private readonly connections: GatewayConnections;
  private readonly shares: GatewayShares;
  private readonly router: GatewayRouter;
  private readonly takeover: SlotTakeover;
  private readonly positions: PositionWatch;
  private server: GatewayServer | undefined;
  private planned: { readonly config: ServingConfig; readonly isPlanned: boolean } | undefined;
  private groups: GroupDirectory | undefined;

  constructor(private readonly ports: ForwardingPorts) {
    const { settings, clock, random, logger, listProxies, findGroup, findLeader, isListed } = ports;
    const { onNoneAccepted } = ports;
    const isSlotPlanned = () => this.isSlotPlanned(ports.getServingConfig());
    const loads = new EntryLoads({
      clock,
      random,
      logger,
      isSlotPlanned,
      getServingConfig: ports.getServingConfig,
      isGateway: (group, name) =>
        this.router.listGroupGateways(group).some((proxy) => proxy.vm === name),
      onRefused: ports.onEntryRefused,
    });
    const { vm, dataCentre, topology } = settings;
    this.shares = new GatewayShares({ vm, clock, random, logger, isSlotPlanned });
    const onRead = this.shares.record.bind(this.shares);
    this.connections = this.owned.add(new GatewayConnections({ clock, logger, loads, onRead }));
    this.takeover = this.owned.add(
      new SlotTakeover({
        connections: this.connections,
        getRouter: () => this.router,
        listGroups: ports.listGroups,
        onChecked: () => this.groups?.refreshShares(),
      }),
    );
    this.positions = this.owned.add(
      new PositionWatch({
        connections: this.connections,
        getRouter: () => this.router,
        listGroups: ports.listGroups,
        getGroups: () => this.groups,
        logger,
      }),
    );
    this.router = new GatewayRouter({
      vm,
      dataCentre,
      topology,
      listProxies,
      findGroup,
      findLeader,
      isListed,
      isSlotPlanned,
      loads,
      orderReads: (group, gateways) => this.shares.order(group, gateways),
      onNoneAccepted,
      isAvoided: (name) =>
        name === vm ? this.findRefusal() !== undefined : this.connections.isAvoided(name),
      isLost: (name) =>
        name === vm ? this.findRefusal() !== undefined : this.takeover.isLost(name),
    });
  }

  /** Whether this node forwards statements and takes those of other nodes. */
  get isEnabled(): boolean {
    return this.ports.settings.gateway !== undefined;
  }

  /** Whether one gateway plans the slots of a target for the whole fleet. */
  isSlotPlanned(config: ServingConfig): boolean {
    // Asked for each read, while the configuration seldom changes.
    if (this.planned?.config !== config) {
      const isPlanned = this.ports.settings.topology.hasRegions || hasLevels(config);
      this.planned = { config, isPlanned };
    }
    return this.isEnabled && this.planned.isPlanned;
  }

  /** Watches the gateways before this one while slots are planned, to take over theirs. */
  updateSlotPlan(config: ServingConfig): void {
    const isPlanned = this.isSlotPlanned(config);
    this.takeover.setRunning(isPlanned);
    this.positions.setRunning(isPlanned);
  }

  /** Creates the runner of callers' statements: forwarding where that is enabled, direct otherwise. */
  createRunner(): WorkRunner {
    return this.isEnabled ? new RoutedRunner(this.router, this.connections) : directRunner;
  }

  /** Starts the server for other nodes' statements, if forwarding is enabled. */
  async listen(direct: DirectPorts, groups: GroupDirectory): Promise<void> {
    this.groups = groups;
    const { gateway } = this.ports.settings;
    if (gateway === undefined) return;
    let nextCall = 1;
    const server = new GatewayServer(gateway, {
      direct,
      groups,
      findRefusal: () => this.findRefusal(),
      findReadRefusal: () => this.findRefusal(!this.ports.settings.topology.hasRegions),
      nextId: () => `h${nextCall++}`,
      grantTokens: this.ports.grantTokens,
      findRedirectDestinations: (group) => this.router.findRedirectDestinations(group),
    });
    this.server = this.owned.add(server);
    await server.listen();
  }

  /**
   * Asks another node for tokens over the connection for statements, where one message costs a small part of a
   * peer call; `unsupported` when that node does not answer there.
   */
  async requestTokens(
    proxy: Proxy,
    { team, wanted }: TokenRequest,
    timeoutMs: number,
  ): Promise<TokenResult> {
    const connection = this.isEnabled ? this.connections.open(proxy) : undefined;
    if (connection === undefined) return { type: "unsupported" };
    return connection.requestTokens(team, wanted, timeoutMs);
  }

  /** The shares of gateways in this node's reads, for metrics. */
  listGatewayShares(): readonly GatewayShareSample[] {
    return this.shares.list();
  }

  /** Counts the statements and transactions in progress for other nodes. */
  countActive(): number {
    return this.server?.countActive() ?? 0;
  }

  /** Rolls back the open transactions of other nodes, when their time in a shutdown is over. */
  endTransactions(): void {
    this.server?.endTransactions();
  }

  /** Refuses the statements of other nodes that still wait here, right before the process ends. */
  cancelWaiting(): void {
    this.server?.cancelWaiting();
  }

  /** How this node's share of the connections to a group's targets in a data centre is determined. */
  findShareRule(group: string, dataCentre: string): ShareRule {
    if (this.isEnabled) return this.router.findHolding(group, dataCentre);
    return buildEqualShare(
      this.ports.settings.vm,
      this.ports.listProxies().map(({ vm }) => vm),
    );
  }

  /** The proxies that hold connections to a group's targets. */
  listGroupProxies(group: string): readonly Proxy[] {
    return this.isEnabled ? this.router.listGroupGateways(group) : this.ports.listProxies();
  }

  /** The groups whose primaries this node monitors and replaces. */
  listOwnGroups(): readonly string[] {
    const groups = this.ports.listGroups();
    return this.isEnabled ? groups.filter((group) => this.router.isGateway(group)) : groups;
  }

  dispose(): Promise<void> {
    return this.owned.dispose();
  }

  /**
   * Why this node can't run statements over its own connections now; undefined while it can. Where there are regions,
   * reads that a replica may answer need no permit: they use one with a log position that the primary reported while
   * the permit was valid. Without a permit no newer position is recorded, so that bounded reads end as their bound
   * passes. An unbounded read after a commit of its session only needs that commit, and may be served for longer.
   */
  private findRefusal(needsPermit = true): string | undefined {
    const { isLeaving, isListed, isPermitted } = this.ports;
    if (isLeaving()) return "this node is leaving";
    if (!isListed()) return "this node is not listed";
    if (!needsPermit) return undefined;
    return isPermitted() ? undefined : "this node has no valid permit to use primaries";
  }
}
