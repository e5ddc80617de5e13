import type { Socket } from "node:net";
import type { Gate, AnswerLossMode } from "./faults.js";

const flushThresholdBytes = 64 * 1024;

/** Buffers messages to one client and applies back-pressure when it reads slowly. */
export class Output {
  private pending: Buffer[] = [];
  private pendingBytes = 0;
  /** While true, the connection stays open but sends nothing. */
  isSilent = false;

  constructor(
    private readonly socket: Socket,
    /** Gates that must be open before data is sent. */
    private readonly gates: readonly Gate[],
  ) {}

  get isFull(): boolean {
    return this.pendingBytes >= flushThresholdBytes;
  }

  push(message: Buffer): void {
    this.pending.push(message);
    this.pendingBytes += message.length;
  }

  /** Sends the buffered messages; resolves when the socket accepts more. */
  async send(): Promise<void> {
    const data = Buffer.concat(this.pending);
    this.pending = [];
    this.pendingBytes = 0;
    for (const gate of this.gates) await gate.wait();
    if (this.isSilent || this.socket.destroyed || data.length === 0) return;
    if (!this.socket.write(data)) await waitForDrain(this.socket);
  }

  /** Discards the buffered messages and all later ones. */
  discardAll(mode: AnswerLossMode): void {
    this.pending = [];
    this.pendingBytes = 0;
    this.isSilent = true;
    if (mode === "break") this.socket.destroy();
  }
}

function waitForDrain(socket: Socket): Promise<void> {
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
