import { ConfigurationKeeper, MembershipKeeper } from "../fleet/index.js";
import {
  DisposableStore,
  type Disposable,
  type ObjectStore,
  type PeerHello,
  type Vm,
} from "../model/index.js";
import { ConnectPeerClient, PeerConnections, type PeerConnectionOptions } from "../peer/index.js";
import type { ProxySettings } from "../settings/index.js";
import type { ProxyPorts } from "./ports.js";

/** What a proxy knows of the fleet: its links to peers, the live VMs and the configuration. */
export class FleetMembers implements Disposable {
  readonly links: PeerConnections;
  readonly peers: ConnectPeerClient;
  readonly membership: MembershipKeeper;
  readonly configuration: ConfigurationKeeper;
  private readonly owned = new DisposableStore();

  constructor(
    ports: ProxyPorts,
    store: ObjectStore,
    security: Pick<PeerConnectionOptions, "getSecureOptions">,
  ) {
    const { settings, incarnation, clock, random, logger } = ports;
    this.links = this.owned.add(new PeerConnections({ clock, ...security }));
    this.peers = new ConnectPeerClient({
      connections: this.links,
      getHello: this.describe,
      onHello: (hello) => {
        this.membership.hear(hello);
      },
    });
    const shared = { store, peers: this.peers, clock, random, logger };
    this.membership = this.owned.add(
      new MembershipKeeper({
        ...shared,
        vm: describeVm(settings),
        incarnation,
        getRevision: () => this.configuration.current().revision,
        seeds: settings.seeds,
        onHello: (hello) => {
          this.configuration.hear(hello);
        },
      }),
    );
    this.configuration = this.owned.add(
      new ConfigurationKeeper({ ...shared, vm: settings.vm, listLive: this.listLive }),
    );
  }

  /** What this process says of itself. */
  readonly describe = (): PeerHello => this.membership.describe();

  readonly listLive = (): readonly Vm[] => this.membership.listLive();

  dispose(): Promise<void> {
    return this.owned.dispose();
  }
}

function describeVm({ vm, dataCentre, listen }: ProxySettings): Vm {
  return { name: vm, dataCentre, peer: listen.peers, state: "live" };
}
