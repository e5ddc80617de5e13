import { connect, createServer, type Server, type Socket } from "node:net";
import type { Address, Disposable } from "../../src/model/index.js";

interface Passage {
  readonly near: Socket;
  readonly far: Socket;
  held: Buffer[];
  hasEnded: boolean;
}

/**
 * A TCP relay whose way forward can be held up. Held bytes arrive later, also if their sender has closed the
 * connection since; they are lost if it has reset it.
 */
export class HoldingRelay implements Disposable {
  private readonly passages = new Set<Passage>();
  private readonly server: Server;
  private isHolding = false;
  /** The number of connections accepted so far. */
  acceptedCount = 0;

  constructor(private readonly destination: Address) {
    this.server = createServer({ allowHalfOpen: true }, (near) => this.accept(near));
  }

  async start(): Promise<Address> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    const bound = this.server.address();
    return { host: "127.0.0.1", port: typeof bound === "object" ? (bound?.port ?? 0) : 0 };
  }

  hold(): void {
    this.isHolding = true;
  }

  release(): void {
    this.isHolding = false;
    for (const passage of this.passages) this.flush(passage);
  }

  dispose(): void {
    this.server.close();
    for (const { near, far } of this.passages) {
      near.destroy();
      far.destroy();
    }
  }

  private accept(near: Socket): void {
    this.acceptedCount += 1;
    const far = connect({ ...this.destination, allowHalfOpen: true });
    const passage: Passage = { near, far, held: [], hasEnded: false };
    this.passages.add(passage);
    far.on("data", (chunk: Buffer) => near.write(chunk));
    far.on("error", () => near.destroy());
    near.on("data", (chunk: Buffer) => {
      passage.held.push(chunk);
      this.flush(passage);
    });
    near.on("end", () => this.finish(passage));
    near.on("error", () => {
      passage.held = [];
      this.finish(passage);
    });
  }

  private finish(passage: Passage): void {
    passage.hasEnded = true;
    this.flush(passage);
  }

  private flush({ far, held, hasEnded }: Passage): void {
    if (this.isHolding) return;
    for (const chunk of held.splice(0)) far.write(chunk);
    if (hasEnded) far.end();
  }
}
