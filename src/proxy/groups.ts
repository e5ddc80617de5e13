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

const helperCount = 3;
const tendMs = 1000;

/** The platform's groups: those that this process owns, and the way to the others. */
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
        findHelpers: () => membership.findHelpers(helperCount),
      }),
    );
    this.directory = this.owned.add(
      new GroupDirectory({
        store,
        clock,
        logger,
        countVms: () => listLive().length,
        onChange: () => {
          this.placeGroups();
        },
      }),
    );
    const remote = this.createRemote(ports);
    this.gateway = new FleetGateway({ vm, clock, listLive, owner: this.owner, remote });
  }

  /** Resolves after the first reading of the platform's list; then follows it and the live VMs. */
  async start(): Promise<void> {
    await this.directory.start();
    this.owned.add(
      this.members.membership.subscribe(() => {
        this.placeGroups();
      }),
    );
    this.placeGroups();
    const timer = setInterval(() => {
      this.tend();
    }, tendMs);
    this.owned.defer(() => {
      clearInterval(timer);
    });
  }

  has(group: string): boolean {
    return this.directory.list().has(group);
  }

  /** Looks at a target for a peer, on a new connection. */
  async checkTarget(group: string, name: string, timeoutMs: number): Promise<ControlResult> {
    const target = this.findTarget(group, name);
    if (target === undefined) {
      return { type: "unreachable", reason: "the target is not known here" };
    }
    return this.control.status(target, { timeoutMs, fresh: true });
  }

  dispose(): Promise<void> {
    return this.owned.dispose();
  }

  private createRemote({ clock }: ProxyPorts): RemoteGateway {
    const { links, describe, membership } = this.members;
    return new RemoteGateway({
      connections: links,
      clock,
      getHello: describe,
      findOwner: (group) => this.gateway.findOther(group),
      onConnectionFailure: ({ name }) => {
        this.gateway.noteBroken(name);
        membership.doubt(name);
      },
    });
  }

  private findTarget(group: string, name: string): Target | undefined {
    const targets = this.directory.list().get(group)?.targets;
    return targets?.find((t) => t.name === name);
  }

  /** Opens the groups that this process owns now. */
  private placeGroups(): void {
    const groups = this.directory.list();
    const owned = [...groups.keys()].filter((name) => this.gateway.isOwned(name));
    this.owner.setGroups(groups, new Set(owned));
  }

  private tend(): void {
    void this.owner.tend();
    for (const served of this.owner.list()) {
      const counts = served.countConnections();
      for (const state of ["opening", "idle", "active", "suspect"] as const) {
        this.metrics.setConnections(served.name, state, counts.get(state) ?? 0);
      }
    }
  }
}
