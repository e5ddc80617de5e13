import { connect, createServer, type Server, type Socket } from "node:net";

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** What was received and is held up, by the end that sent it. */
  readonly held: { readonly from: "near" | "far"; readonly chunk: Buffer | "end" }[];
}

/**
 * A relay to one port that stands for the path between two machines. While it holds, nothing passes; afterwards what was
 * held up arrives, also that of a process that has ended meanwhile. A reset by the sender discards it.
 */
export class HoldLink {
  private readonly pairs = new Set<Pair>();
  private readonly server: Server;
  private isHolding = false;
  port = 0;

  /** `onRequest` sees each chunk before it is passed on, and may call `hold`. */
  constructor(
    private readonly destination: number,
    private readonly onRequest: (text: string) => void = () => undefined,
  ) {
    this.server = createServer({ noDelay: true, allowHalfOpen: true }, (near) => this.accept(near));
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    const address = this.server.address();
    if (typeof address === "object" && address !== null) this.port = address.port;
  }

  hold(): void {
    this.isHolding = true;
  }

  release(): void {
    this.isHolding = false;
    for (const pair of this.pairs) {
      for (const { from, chunk } of pair.held.splice(0)) pass(pair, from, chunk);
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
    const far = connect({
      port: this.destination,
      host: "127.0.0.1",
      noDelay: true,
      allowHalfOpen: true,
    });
    const pair: Pair = { near, far, held: [] };
    this.pairs.add(pair);
    const end = () => {
      near.destroy();
      far.destroy();
      this.pairs.delete(pair);
    };
    near.on("error", end);
    far.on("error", end);
    near.on("data", (chunk: Buffer) => {
      this.onRequest(chunk.toString("latin1"));
      this.relay(pair, "near", chunk);
    });
    far.on("data", (chunk: Buffer) => this.relay(pair, "far", chunk));
    near.on("end", () => this.relay(pair, "near", "end"));
    far.on("end", () => this.relay(pair, "far", "end"));
  }

  private relay(pair: Pair, from: "near" | "far", chunk: Buffer | "end"): void {
    if (this.isHolding) pair.held.push({ from, chunk });
    else pass(pair, from, chunk);
  }
}

function pass({ near, far }: Pair, from: "near" | "far", chunk: Buffer | "end"): void {
  const to = from === "near" ? far : near;
  if (to.destroyed) return;
  if (chunk === "end") to.end();
  else to.write(chunk);
}
