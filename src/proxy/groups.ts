import type { Metrics } from "../metric/index.js";
import {
  DisposableStore,
  type ControlResult,
  type Disposable,
  type ObjectStore,
  type Target,
} from "../model/index.js";
import { OwnerGateway } from "../owner/index.js";
import { RemoteGateway } from "../peer/index.js";
import { PgTargetConnector, PgTargetControl } from "../target/index.js";
import { GroupDirectory } from "./directory.js";
import { FleetGateway } from "./gateway.js";
import { createMetricHooks } from "./hooks.js";
import type { FleetMembers } from "./members.js";
import type { ProxyPorts } from "./ports.js";

/** Live VMs offered to check a target that this process can't reach. */
const checkerCount = 3;
const maintenanceIntervalMs = 1000;

/** Serves the platform's groups: those that this process owns, and the others by their owners. */
export class FleetGroups implements Disposable {
  readonly owner: OwnerGateway;
  readonly gateway: FleetGateway;
  private readonly directory: GroupDirectory;
  private readonly control: PgTargetControl;
  private readonly owned = new DisposableStore();

  constructor(
    ports: ProxyPorts,
    private readonly members: FleetMembers,
    store: ObjectStore,
    private readonly metrics: Metrics,
  ) {
    const { clock, random, logger } = ports;
    const { vm } = ports.settings;
    const { listLive, membership, peers } = members;
    this.control = this.owned.add(new PgTargetControl());
    this.owner = this.owned.add(
      new OwnerGateway({
        vm,
        connector: new PgTargetConnector(),
        control: this.control,
        peers,
        clock,
        random,
        logger,
        hooks: createMetricHooks(metrics),
        listCheckerVms: () => membership.findProbeHelpers(checkerCount),
      }),
    );
    this.directory = this.owned.add(
      new GroupDirectory({
        store,
        clock,
        logger,
        countVms: () => listLive().length,
        onChange: () => {
          this.updateOwnedGroups();
        },
      }),
    );
    const remote = this.createRemoteGateway(ports);
    this.gateway = new FleetGateway({ vm, clock, listLive, owner: this.owner, remote });
  }

  /**
   * Resolves after the first read of the platform's list of groups; then updates the owned groups
   * as that list or the live VMs change.
   */
  async start(): Promise<void> {
    await this.directory.start();
    this.owned.add(
      this.members.membership.subscribe(() => {
        this.updateOwnedGroups();
      }),
    );
    this.updateOwnedGroups();
    const timer = setInterval(() => {
      this.runMaintenance();
    }, maintenanceIntervalMs);
    this.owned.defer(() => {
      clearInterval(timer);
    });
  }

  has(group: string): boolean {
    return this.directory.list().has(group);
  }

  /** Queries the status of a target for a peer, on a new connection. */
  async checkTarget(group: string, name: string, timeoutMs: number): Promise<ControlResult> {
    const target = this.findTarget(group, name);
    if (target === undefined) {
      return {
        type: "unreachable",
        reason: `target ${name} of group ${group} is not known to this proxy`,
      };
    }
    return this.control.getStatus(target, { timeoutMs, fresh: true });
  }

  dispose(): Promise<void> {
    return this.owned.dispose();
  }

  private createRemoteGateway({ clock }: ProxyPorts): RemoteGateway {
    const { links, createHello, membership } = this.members;
    return new RemoteGateway({
      connections: links,
      clock,
      getHello: createHello,
      findOwner: (group) => this.gateway.findRemoteOwner(group),
      onConnectionFailure: ({ name }) => {
        this.gateway.markUnreachable(name);
        membership.requestProbe(name);
      },
    });
  }

  private findTarget(group: string, name: string): Target | undefined {
    const targets = this.directory.list().get(group)?.targets;
    return targets?.find((t) => t.name === name);
  }

  /** Updates the groups and opens those that this process now owns. */
  private updateOwnedGroups(): void {
    const groups = this.directory.list();
    const owned = [...groups.keys()].filter((name) => this.gateway.isOwned(name));
    this.owner.setGroups(groups, new Set(owned));
  }

  private runMaintenance(): void {
    void this.owner.runMaintenance();
    for (const served of this.owner.listGroups()) {
      const counts = served.countConnections();
      for (const state of ["opening", "idle", "active", "suspect"] as const) {
        this.metrics.setConnections(served.name, state, counts.get(state) ?? 0);
      }
    }
  }
}
