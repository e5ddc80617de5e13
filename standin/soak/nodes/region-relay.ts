import { connect, createServer, type Server, type Socket } from "node:net";
import type { Address, Disposable } from "../../../src/model/index.js";
import type { RegionLink } from "./region-link.js";

/** Headers of IPv4 and of TCP with timestamps. */
const packetOverheadBytes = 52;
/** What one connection may have in transit in one direction before its sender has to wait. */
const windowBytes = 256 * 1024;

/**
 * Relays connections from one region to an address in another. A new connection passes bytes after a round trip, as
 * after a TCP handshake.
 */
export class RegionRelay implements Disposable {
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(
    private readonly destination: Address,
    private readonly there: RegionLink,
    private readonly back: RegionLink,
  ) {
    this.server = createServer({ pauseOnConnect: true, noDelay: true }, (near) => {
      this.accept(near);
    });
  }

  /** Starts to listen and returns the port. */
  async start(): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, this.destination.host, resolve));
    const address = this.server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  async dispose(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private accept(near: Socket): void {
    this.track(near);
    this.there.send(packetOverheadBytes, () => {
      if (near.destroyed) return;
      const far = connect({ ...this.destination, noDelay: true });
      this.track(far);
      forward(far, near, this.back);
      far.once("connect", () => {
        this.back.send(packetOverheadBytes, () => {
          forward(near, far, this.there);
        });
      });
    });
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => this.sockets.delete(socket));
  }
}

function forward(from: Socket, to: Socket, link: RegionLink): void {
  let transitBytes = 0;
  const end = () => {
    link.send(packetOverheadBytes, () => {
      to.destroySoon();
    });
  };
  if (from.destroyed) {
    end();
    return;
  }
  from.on("close", end);
  from.on("data", (chunk: Buffer) => {
    transitBytes += chunk.length;
    if (transitBytes > windowBytes) from.pause();
    link.send(chunk.length + packetOverheadBytes, () => {
      to.write(chunk, () => {
        transitBytes -= chunk.length;
        if (transitBytes <= windowBytes) from.resume();
      });
    });
  });
  from.resume();
}
