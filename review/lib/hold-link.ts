import { connect, createServer, type Server, type Socket } from "node:net";
import type { Address } from "../../src/model/index.js";

/** One direction of a relayed connection. */
interface Direction {
  readonly to: Socket;
  held: Buffer[];
  hasEnded: boolean;
}

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  readonly forward: Direction;
  readonly back: Direction;
}

/**
 * A TCP relay that can be cut without a word. Bytes that are sent during the cut arrive after it, also when their
 * sender has closed the connection since. They are lost when their sender has reset it.
 */
export class HoldLink {
  address: Address = { host: "127.0.0.1", port: 0 };
  private readonly server: Server;
  private readonly pairs = new Set<Pair>();
  private isCut = false;

  constructor(private readonly destination: Address) {
    this.server = createServer({ allowHalfOpen: true }, (near) => this.accept(near));
  }

  async start(): Promise<Address> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    const bound = this.server.address();
    const port = typeof bound === "object" && bound !== null ? bound.port : 0;
    this.address = { host: "127.0.0.1", port };
    return this.address;
  }

  cut(): void {
    this.isCut = true;
  }

  /** The bytes that are held for the far end, and how many of their senders have closed without a reset. */
  countHeld(): { readonly bytes: number; readonly closedSenders: number } {
    const waiting = [...this.pairs].filter(({ forward }) => forward.held.length > 0);
    const bytes = waiting.flatMap(({ forward }) => forward.held.map(({ length }) => length));
    return {
      bytes: bytes.reduce((sum, length) => sum + length, 0),
      closedSenders: waiting.filter(({ forward }) => forward.hasEnded).length,
    };
  }

  heal(): void {
    this.isCut = false;
    for (const pair of [...this.pairs]) {
      this.flush(pair, pair.forward);
      this.flush(pair, pair.back);
    }
  }

  stop(): void {
    this.server.close();
    for (const { near, far } of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }

  private accept(near: Socket): void {
    const far = connect({ ...this.destination, noDelay: true, allowHalfOpen: true });
    near.setNoDelay(true);
    const pair: Pair = {
      near,
      far,
      forward: { to: far, held: [], hasEnded: false },
      back: { to: near, held: [], hasEnded: false },
    };
    this.pairs.add(pair);
    this.watch(pair, near, pair.forward);
    this.watch(pair, far, pair.back);
  }

  private watch(pair: Pair, from: Socket, direction: Direction): void {
    from.on("data", (chunk: Buffer) => {
      direction.held.push(chunk);
      this.flush(pair, direction);
    });
    from.on("end", () => {
      direction.hasEnded = true;
      this.flush(pair, direction);
    });
    // A reset: what its sender had sent is lost, and the other end hears of it as the path allows.
    from.on("error", () => {
      direction.held = [];
      direction.hasEnded = true;
      this.flush(pair, direction);
    });
  }

  private flush(pair: Pair, direction: Direction): void {
    if (this.isCut) return;
    for (const chunk of direction.held) if (direction.to.writable) direction.to.write(chunk);
    direction.held = [];
    if (direction.hasEnded && direction.to.writable) direction.to.end();
    if (pair.forward.hasEnded && pair.back.hasEnded) this.pairs.delete(pair);
  }
}
