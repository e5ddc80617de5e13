import { type AddressInfo, createServer, type Server, Socket } from "node:net";
import type {
  Address,
  GroupGateway,
  Json,
  PeerHello,
  Request,
  StoreRead,
  Vm,
} from "../../src/model/index.js";
import {
  type OwnerChoice,
  type PeerHandlers,
  PeerLinks,
  PeerServer,
  RemoteGateway,
} from "../../src/peer/index.js";
import { clock, createMark, serveAction } from "../caller/fake.js";

export const makeHello = (vm: string): PeerHello => ({
  vm,
  incarnation: "1",
  state: "ready",
  revision: 4,
});

export const makeVm = (name: string, peer: Address): Vm => ({
  name,
  dataCentre: "dc1",
  peer,
  state: "live",
});

export const request: Request = {
  id: "r1",
  traits: {
    group: "g",
    team: "acme",
    plan: "paying",
    kind: "checkin",
    effect: "write",
    tables: ["t"],
    transaction: false,
  },
  rule: "all",
  action: serveAction as Request["action"],
  mark: createMark(3),
  idempotency: { key: "k", digest: "d" },
  deadlineAt: clock.now() + 60_000,
};

/** Handlers of a process that owns every group and knows nothing else. */
export function makeHandlers(
  gateway: GroupGateway,
  rest: Partial<PeerHandlers> = {},
): PeerHandlers {
  return {
    getHello: () => makeHello("owner"),
    onHello: () => undefined,
    chooseOwner: (): OwnerChoice => ({ type: "here", gateway }),
    probe: () => Promise.resolve({ type: "silent", reason: "unknown" }),
    checkTarget: () => Promise.resolve({ type: "unreachable", reason: "unknown" }),
    fetchConfiguration: (): Promise<StoreRead<Json>> => Promise.resolve({ type: "absent" }),
    pushConfiguration: () => Promise.resolve(0),
    report: () => ({}),
    ...rest,
  };
}

/** A TCP relay whose connections can be cut, or go silent for good while new ones work. */
export class Relay {
  private readonly pairs = new Set<readonly [Socket, Socket]>();
  private readonly server: Server;
  address: Address = { host: "127.0.0.1", port: 0 };

  constructor(private readonly to: Address) {
    this.server = createServer((near) => this.connect(near));
  }

  async listen(): Promise<Address> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    const { port } = this.server.address() as AddressInfo;
    this.address = { host: "127.0.0.1", port };
    return this.address;
  }

  cut(): void {
    for (const socket of [...this.pairs].flat()) socket.destroy();
  }

  silence(): void {
    for (const [near, far] of this.pairs) {
      near.unpipe();
      far.unpipe();
      near.pause();
      far.pause();
    }
  }

  dispose(): void {
    this.server.close();
    this.cut();
  }

  private connect(near: Socket): void {
    const far = new Socket().connect(this.to.port, this.to.host);
    const pair = [near, far] as const;
    this.pairs.add(pair);
    near.pipe(far).pipe(near);
    for (const socket of pair) {
      socket.on("error", () => undefined);
      socket.on("close", () => {
        this.pairs.delete(pair);
        near.destroy();
        far.destroy();
      });
    }
  }
}

/** A server with handlers, behind a relay, and a gateway that reaches it. */
export async function startPeer(handlers: PeerHandlers) {
  const address = { host: "127.0.0.1", port: 0 };
  const keepalive = { intervalMs: 100, timeoutMs: 100 };
  const server = new PeerServer({ address, handlers, clock, keepalive });
  const relay = new Relay(await server.listen());
  const vm = makeVm("owner", await relay.listen());
  const links = new PeerLinks({ clock, pingIntervalMs: 60, pingTimeoutMs: 60 });
  const gateway = new RemoteGateway({
    links,
    clock,
    getHello: () => makeHello("asker"),
    findOwner: () => vm,
  });
  return {
    server,
    relay,
    vm,
    links,
    gateway,
    stop: () => {
      links.dispose();
      relay.dispose();
      server.dispose();
    },
  };
}
