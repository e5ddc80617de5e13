import { connect, createServer, type Server, type Socket } from "node:net";
import type { Address, Disposable } from "../../src/model/index.js";

/** One way between two regions, in milliseconds. */
export const oneWayMs = 30;
/** There and back, in milliseconds. */
export const roundTripMs = 2 * oneWayMs;

/**
 * A TCP relay that delays each direction. The operating system accepts a connection to it at once; so the first bytes
 * reach the address only after the three messages that open a connection over such a distance.
 */
export class DelayedLink implements Disposable {
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(private readonly getDestination: () => Address) {
    this.server = createServer({ noDelay: true }, (near) => this.accept(near));
  }

  async start(): Promise<Address> {
    const host = "127.0.0.1";
    await new Promise<void>((resolve) => this.server.listen(0, host, resolve));
    const bound = this.server.address();
    return { host, port: typeof bound === "object" && bound !== null ? bound.port : 0 };
  }

  dispose(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private accept(near: Socket): void {
    this.track(near);
    const acceptedAt = performance.now();
    const early: Buffer[] = [];
    let far: Socket | undefined;
    near.on("data", (chunk: Buffer) => {
      setTimeout(() => {
        if (far === undefined) early.push(chunk);
        else far.write(chunk);
      }, oneWayMs);
    });
    setTimeout(
      () => {
        const opened = connect({ ...this.getDestination(), noDelay: true });
        this.track(opened);
        far = opened;
        for (const chunk of early) opened.write(chunk);
        opened.on("data", (chunk: Buffer) => setTimeout(() => near.write(chunk), oneWayMs));
        opened.on("close", () => setTimeout(() => near.destroy(), oneWayMs));
        near.on("close", () => setTimeout(() => opened.destroy(), oneWayMs));
      },
      acceptedAt + roundTripMs + oneWayMs - performance.now(),
    );
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    socket.on("error", () => undefined).on("close", () => this.sockets.delete(socket));
  }
}
