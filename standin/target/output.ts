import type { Socket } from "node:net";
import type { Gate, AnswerLossMode } from "./faults.js";

const chunkBytes = 64 * 1024;

/** The way back to one client: gathers messages and waits for a client that reads slowly. */
export class Output {
  private parts: Buffer[] = [];
  private bytes = 0;
  /** A silent connection stays open, but nothing more comes out of it. */
  isSilent = false;

  constructor(
    private readonly socket: Socket,
    /** What must be open before anything goes out. */
    private readonly gates: readonly Gate[],
  ) {}

  get isFull(): boolean {
    return this.bytes >= chunkBytes;
  }

  push(message: Buffer): void {
    this.parts.push(message);
    this.bytes += message.length;
  }

  /** Sends what was gathered; resolves when the socket takes more. */
  async send(): Promise<void> {
    const data = Buffer.concat(this.parts);
    this.parts = [];
    this.bytes = 0;
    for (const gate of this.gates) await gate.wait();
    if (this.isSilent || this.socket.destroyed || data.length === 0) return;
    if (!this.socket.write(data)) await waitDrain(this.socket);
  }

  /** Loses what was gathered and all that would follow. */
  discardAll(how: AnswerLossMode): void {
    this.parts = [];
    this.bytes = 0;
    this.isSilent = true;
    if (how === "break") this.socket.destroy();
  }
}

function waitDrain(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const end = () => {
      socket.off("drain", end);
      socket.off("close", end);
      resolve();
    };
    socket.on("drain", end);
    socket.on("close", end);
  });
}
