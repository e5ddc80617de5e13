import { createServer, type Server, type Socket } from "node:net";
import type { Address, Disposable } from "../model/index.js";
import { ServedConnection, type ServedConnectionPorts } from "./served.js";

/** Waiting connections: after a loss of power all nodes connect within a second. */
const backlog = 1024;

/** Serves other nodes' statements over this process's connections to targets. */
export class GatewayServer implements Disposable {
  private readonly server: Server;
  private readonly links = new Set<ServedConnection>();

  constructor(
    private readonly address: Address,
    private readonly ports: ServedConnectionPorts,
  ) {
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
  }

  async listen(): Promise<void> {
    const { host, port } = this.address;
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen({ port, host, backlog }, resolve);
    });
  }

  /** Statements and transactions that are under way for other nodes. */
  countActive(): number {
    return [...this.links].reduce((sum, link) => sum + link.activeCount, 0);
  }

  /** Rolls back open transactions, which have had their time. */
  rollBackIdleTransactions(): void {
    for (const link of this.links) link.rollBackIdleTransactions();
  }

  dispose(): void {
    this.server.close();
    for (const link of this.links) link.close();
  }

  private accept(socket: Socket): void {
    const link: ServedConnection = new ServedConnection(socket, this.ports, () =>
      this.links.delete(link),
    );
    this.links.add(link);
  }
}
