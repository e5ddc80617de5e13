import { openIncarnation } from "../../src/controller/membership/index.js";
import { ConfigurationTracker, MembershipTracker } from "../../src/fleet/index.js";
import { silentLogger } from "../../src/log/index.js";
import { DisposableStore, type Clock, type Vm } from "../../src/model/index.js";
import { ConnectPeerClient, PeerConnections, PeerServer } from "../../src/peer/index.js";
import { HttpObjectStore } from "../../src/platform/index.js";
import { createSystemRandom } from "../../src/system/index.js";

/** One node's configuration and membership, with real connections. */
export class Node {
  readonly configuration: ConfigurationTracker;
  readonly membership: MembershipTracker;
  private readonly owned = new DisposableStore();
  private readonly server: PeerServer;

  constructor(vm: Vm, url: string, clock: Clock) {
    const random = createSystemRandom();
    const logger = silentLogger;
    const store = this.owned.add(new HttpObjectStore({ url }));
    const links = this.owned.add(new PeerConnections({ clock }));
    const peers = new ConnectPeerClient({
      connections: links,
      getHello: () => this.membership.createHello(),
      onHello: (hello) => {
        this.membership.receiveHello(hello);
      },
    });
    const ports = { store, peers, clock, random, logger };
    this.configuration = this.owned.add(
      new ConfigurationTracker({
        ...ports,
        vm: vm.name,
        listLive: () => this.membership.listLive(),
      }),
    );
    this.membership = this.owned.add(
      new MembershipTracker({
        ...ports,
        vm,
        incarnation: openIncarnation(Date.now()),
        getRevision: () => this.configuration.getCurrent().revision,
        onHello: (hello) => {
          this.configuration.receiveHello(hello);
        },
      }),
    );
    this.server = this.owned.add(this.createServer(vm, clock));
  }

  async start(): Promise<void> {
    await this.server.listen();
    await this.membership.start();
    await this.configuration.start();
    this.membership.setState("ready");
  }

  dispose(): Promise<void> {
    return this.owned.dispose();
  }

  private createServer(vm: Vm, clock: Clock): PeerServer {
    const { membership, configuration } = this;
    return new PeerServer({
      address: vm.peer,
      clock,
      handlers: {
        getHello: () => membership.createHello(),
        onHello: (hello) => {
          membership.receiveHello(hello);
        },
        chooseOwner: () => ({ type: "elsewhere" }),
        probe: (other) => membership.probeForPeer(other),
        checkTarget: () => Promise.resolve({ type: "unreachable", reason: "no targets here" }),
        fetchConfiguration: (after) => Promise.resolve(configuration.answerFetch(after)),
        pushConfiguration: (json) => Promise.resolve(configuration.receivePush(json)),
        report: () => null,
      },
    });
  }
}
