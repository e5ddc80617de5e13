import { createServer, type Server, type Socket } from "node:net";
import type { Address, Disposable } from "../model/index.js";
import { LoadSource } from "./load-source.js";
import { ServedConnection } from "./served.js";
import type { ServedConnectionPorts } from "./served-ports.js";

/** Connections that may wait to be accepted: after a loss of power all nodes connect within a second. */
const backlog = 1024;

/** Runs other nodes' statements over this process's connections to targets. */
export class GatewayServer implements Disposable {
  private readonly server: Server;
  private readonly connections = new Set<ServedConnection>();
  private readonly loads: LoadSource;

  constructor(
    private readonly address: Address,
    private readonly ports: ServedConnectionPorts,
  ) {
    this.loads = new LoadSource(ports);
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
  }

  async listen(): Promise<void> {
    const { host, port } = this.address;
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen({ port, host, backlog }, resolve);
    });
  }

  /** The number of statements that run and transactions that are open for other nodes. */
  countActive(): number {
    return [...this.connections].reduce((sum, connection) => sum + connection.activeCount, 0);
  }

  /** Rolls back all transactions when the time for draining is over, each after the statement that runs in it. */
  endTransactions(): void {
    for (const connection of this.connections) connection.endTransactions();
  }

  /** Refuses the statements that still wait, right before the process ends. */
  cancelWaiting(): void {
    for (const connection of this.connections) connection.cancelWaiting();
  }

  dispose(): void {
    this.server.close();
    for (const connection of this.connections) connection.close();
  }

  private accept(socket: Socket): void {
    const connection: ServedConnection = new ServedConnection(socket, this.ports, this.loads, () =>
      this.connections.delete(connection),
    );
    this.connections.add(connection);
  }
}
