import type {
  DirectPorts,
  GroupDirectory,
  ShareRule,
  PrimaryState,
  WorkRunner,
} from "../direct/index.js";
import { directRunner, type AnnouncedGroup } from "../direct/index.js";
import { GatewayLinks, GatewayRouter, GatewayServer, RoutedRunner } from "../gateway/index.js";
import type { Proxy } from "../leadership/index.js";
import type { Logger } from "../log/index.js";
import { DisposableStore, type Clock, type Disposable } from "../model/index.js";
import type { NodeSettings } from "./settings.js";

/** What a node's part in forwarding statements needs. */
export interface ForwardingPorts {
  readonly settings: Pick<NodeSettings, "vm" | "dataCentre" | "gateway">;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly listProxies: () => readonly Proxy[];
  readonly isListed: () => boolean;
  readonly isLeaving: () => boolean;
  /** Whether this node may use primaries now. */
  readonly isPermitted: () => boolean;
  readonly listGroups: () => readonly string[];
  readonly findGroup: (group: string) => AnnouncedGroup | undefined;
  readonly findLeader: (group: string) => PrimaryState;
  /** A statement was taken by nobody that this node knows of. */
  readonly onNoneAccepted: () => void;
}

/** A node's part in forwarding statements: to gateways, and as one for other nodes. */
export class Forwarding implements Disposable {
  private readonly owned = new DisposableStore();
  private readonly connections: GatewayLinks;
  private readonly router: GatewayRouter;
  private server: GatewayServer | undefined;

  constructor(private readonly ports: ForwardingPorts) {
    const { settings, clock, logger, listProxies, findGroup, findLeader, isListed } = ports;
    const { onNoneAccepted } = ports;
    const { vm, dataCentre } = settings;
    this.connections = this.owned.add(new GatewayLinks({ clock, logger }));
    this.router = new GatewayRouter({
      vm,
      dataCentre,
      listProxies,
      findGroup,
      findLeader,
      isListed,
      onNobody: onNoneAccepted,
      isPassedOver: (name) =>
        name === vm ? this.findRefusal() !== undefined : this.connections.isPassedOver(name),
    });
  }

  /** Whether other nodes can run this one's statements. */
  get isEnabled(): boolean {
    return this.ports.settings.gateway !== undefined;
  }

  createRunner(): WorkRunner {
    return this.isEnabled ? new RoutedRunner(this.router, this.connections) : directRunner;
  }

  /** Begins to take other nodes' statements. */
  async listen(direct: DirectPorts, groups: GroupDirectory): Promise<void> {
    const { gateway } = this.ports.settings;
    if (gateway === undefined) return;
    let nextCall = 1;
    const server = new GatewayServer(gateway, {
      direct,
      groups,
      findRefusal: () => this.findRefusal(),
      nextId: () => `h${nextCall++}`,
    });
    this.server = this.owned.add(server);
    await server.listen();
  }

  /** Statements and transactions that are under way for other nodes. */
  countActive(): number {
    return this.server?.countBusy() ?? 0;
  }

  /** Rolls back other nodes' open transactions, which have had their time. */
  rollBackTransactions(): void {
    this.server?.endTransactions();
  }

  /** What this node holds of the connections to a group's targets in one data centre. */
  findShareRule(group: string, dataCentre: string): ShareRule {
    if (this.isEnabled) return this.router.findHolding(group, dataCentre);
    return { type: "equal", proxies: Math.max(1, this.ports.listProxies().length) };
  }

  /** The proxies that hold a group's connections. */
  listGroupProxies(group: string): readonly Proxy[] {
    return this.isEnabled ? this.router.listHolders(group) : this.ports.listProxies();
  }

  /** The groups whose primaries this node looks after. */
  listOwnGroups(): readonly string[] {
    const groups = this.ports.listGroups();
    return this.isEnabled ? groups.filter((group) => this.router.isGateway(group)) : groups;
  }

  dispose(): Promise<void> {
    return this.owned.dispose();
  }

  /** Why this node runs no statements over connections of its own now; absent while it does. */
  private findRefusal(): string | undefined {
    const { isLeaving, isListed, isPermitted } = this.ports;
    if (isLeaving()) return "this node is leaving";
    if (!isListed()) return "this node is not listed";
    return isPermitted() ? undefined : "this node may use no primary now";
  }
}
