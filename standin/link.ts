import { connect, createServer, type Server, type Socket } from "node:net";
import type { Address, Disposable } from "../src/model/index.js";

/** What a link does with bytes of one direction. `hold` keeps them, as a cut whose ends do not notice. */
export type Flow = "pass" | "hold";

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** Everything on it is held for good, though new connections work. */
  isForgotten: boolean;
}

/** A TCP link to one address with switches for what a network does to it. */
export class FaultyLink implements Disposable {
  private readonly pairs = new Set<Pair>();
  private readonly server: Server;
  private listening: Address = { host: "127.0.0.1", port: 0 };
  private there: Flow = "pass";
  private back: Flow = "pass";
  private isRefusing = false;

  constructor(private readonly to: () => Address) {
    this.server = createServer((near) => {
      this.accept(near);
    });
  }

  get address(): Address {
    return this.listening;
  }

  async start(): Promise<Address> {
    await new Promise<void>((resolve) => this.server.listen(0, this.listening.host, resolve));
    const bound = this.server.address();
    const port = typeof bound === "object" && bound !== null ? bound.port : 0;
    this.listening = { host: this.listening.host, port };
    return this.listening;
  }

  /** Sets what becomes of bytes towards the address, and of those that come back. */
  setFlow(there: Flow, back: Flow): void {
    this.there = there;
    this.back = back;
    for (const pair of this.pairs) this.updatePair(pair);
  }

  /** Breaks every connection and refuses new ones, or ends that. */
  setRefusing(isRefusing: boolean): void {
    this.isRefusing = isRefusing;
    if (isRefusing) this.breakAll();
  }

  /** Breaks every connection; new ones work. */
  breakAll(): void {
    for (const { near, far } of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }

  /** Lets every connection of now go silent for good; new ones work. */
  stallAll(): void {
    for (const pair of this.pairs) {
      pair.isForgotten = true;
      this.updatePair(pair);
    }
  }

  /** Ends every fault that can end. */
  heal(): void {
    this.isRefusing = false;
    this.setFlow("pass", "pass");
  }

  dispose(): Promise<void> {
    this.breakAll();
    return new Promise((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
  }

  private accept(near: Socket): void {
    if (this.isRefusing) {
      near.destroy();
      return;
    }
    const far = connect({ ...this.to(), noDelay: true });
    near.setNoDelay(true);
    const pair: Pair = { near, far, isForgotten: false };
    this.pairs.add(pair);
    const end = () => {
      near.destroy();
      far.destroy();
      this.pairs.delete(pair);
    };
    for (const socket of [near, far]) socket.on("error", end).on("close", end);
    near.on("data", (chunk) => {
      this.pass(chunk, near, far);
    });
    far.on("data", (chunk) => {
      this.pass(chunk, far, near);
    });
    this.updatePair(pair);
  }

  private pass(chunk: Buffer, from: Socket, to: Socket): void {
    if (to.write(chunk)) return;
    from.pause();
    to.once("drain", () => {
      this.updateAll();
    });
  }

  private updateAll(): void {
    for (const pair of this.pairs) this.updatePair(pair);
  }

  private updatePair({ near, far, isForgotten }: Pair): void {
    setReading(near, !isForgotten && this.there === "pass" && !far.writableNeedDrain);
    setReading(far, !isForgotten && this.back === "pass" && !near.writableNeedDrain);
  }
}

function setReading(socket: Socket, isReading: boolean): void {
  if (isReading) socket.resume();
  else socket.pause();
}
