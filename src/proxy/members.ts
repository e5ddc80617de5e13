import { ConfigurationTracker, MembershipTracker } from "../fleet/index.js";
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

/** A proxy's view of the fleet: its connections to peers, the live VMs and the configuration. */
export class FleetMembers implements Disposable {
  readonly links: PeerConnections;
  readonly peers: ConnectPeerClient;
  readonly membership: MembershipTracker;
  readonly configuration: ConfigurationTracker;
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
      getHello: this.createHello,
      onHello: (hello) => {
        this.membership.receiveHello(hello);
      },
    });
    const shared = { store, peers: this.peers, clock, random, logger };
    this.membership = this.owned.add(
      new MembershipTracker({
        ...shared,
        vm: toVm(settings),
        incarnation,
        getRevision: () => this.configuration.getCurrent().revision,
        seeds: settings.seeds,
        onHello: (hello) => {
          this.configuration.receiveHello(hello);
        },
      }),
    );
    this.configuration = this.owned.add(
      new ConfigurationTracker({ ...shared, vm: settings.vm, listLive: this.listLive }),
    );
  }

  /** Creates the hello that this process sends with its messages. */
  readonly createHello = (): PeerHello => this.membership.createHello();

  readonly listLive = (): readonly Vm[] => this.membership.listLive();

  dispose(): Promise<void> {
    return this.owned.dispose();
  }
}

function toVm({ vm, dataCentre, listen }: ProxySettings): Vm {
  return { name: vm, dataCentre, peer: listen.peers, state: "live" };
}
