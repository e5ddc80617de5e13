import { connect, createServer, type Server, type Socket } from "node:net";
import type { Address, Disposable } from "../src/model/index.js";

/** What a link does with the bytes of one direction. `hold` stops reading, like a cut that neither end notices. */
export type Flow = "pass" | "hold";

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** Whether both directions are held permanently, while new connections work. */
  isStalled: boolean;
}

/** A TCP relay to one address that injects network faults. */
export class FaultyLink implements Disposable {
  private readonly pairs = new Set<Pair>();
  private readonly server: Server;
  private listenAddress: Address = { host: "127.0.0.1", port: 0 };
  private forwardFlow: Flow = "pass";
  private returnFlow: Flow = "pass";
  private isRefusing = false;
  /** The number of connections accepted so far. */
  acceptedCount = 0;

  constructor(private readonly getDestination: () => Address) {
    this.server = createServer((near) => {
      this.accept(near);
    });
  }

  get address(): Address {
    return this.listenAddress;
  }

  async start(): Promise<Address> {
    await new Promise<void>((resolve) => this.server.listen(0, this.listenAddress.host, resolve));
    const boundAddress = this.server.address();
    const port = typeof boundAddress === "object" && boundAddress !== null ? boundAddress.port : 0;
    this.listenAddress = { host: this.listenAddress.host, port };
    return this.listenAddress;
  }

  /** Sets the flow towards the address and the flow back from it, for current and new connections. */
  setFlow(forwardFlow: Flow, returnFlow: Flow): void {
    this.forwardFlow = forwardFlow;
    this.returnFlow = returnFlow;
    for (const pair of this.pairs) this.updatePair(pair);
  }

  /** With true, closes all connections and refuses new ones until it is called with false. */
  setRefusing(isRefusing: boolean): void {
    this.isRefusing = isRefusing;
    if (isRefusing) this.breakAll();
  }

  /** Closes all connections; new ones work. */
  breakAll(): void {
    for (const { near, far } of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }

  /** Stalls the current connections permanently; new ones work. */
  stallAll(): void {
    for (const pair of this.pairs) {
      pair.isStalled = true;
      this.updatePair(pair);
    }
  }

  /** Ends all faults except those of connections that were stalled by `stallAll`. */
  clearFaults(): void {
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
    this.acceptedCount += 1;
    const far = connect({ ...this.getDestination(), noDelay: true });
    near.setNoDelay(true);
    const pair: Pair = { near, far, isStalled: false };
    this.pairs.add(pair);
    const end = () => {
      near.destroy();
      far.destroy();
      this.pairs.delete(pair);
    };
    for (const socket of [near, far]) socket.on("error", end).on("close", end);
    near.on("data", (chunk) => {
      this.relay(chunk, near, far);
    });
    far.on("data", (chunk) => {
      this.relay(chunk, far, near);
    });
    this.updatePair(pair);
  }

  private relay(chunk: Buffer, from: Socket, to: Socket): void {
    if (to.write(chunk)) return;
    from.pause();
    to.once("drain", () => {
      this.updateAll();
    });
  }

  private updateAll(): void {
    for (const pair of this.pairs) this.updatePair(pair);
  }

  private updatePair({ near, far, isStalled }: Pair): void {
    setReading(near, !isStalled && this.forwardFlow === "pass" && !far.writableNeedDrain);
    setReading(far, !isStalled && this.returnFlow === "pass" && !near.writableNeedDrain);
  }
}

function setReading(socket: Socket, isReading: boolean): void {
  if (isReading) socket.resume();
  else socket.pause();
}
