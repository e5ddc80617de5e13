import type { Socket } from "node:net";
import { FrameReader } from "./frames.js";

/** What the owner of a channel hears of it. */
export interface ChannelHandlers {
  /** Bytes came: the other end lives. */
  readonly onData: () => void;
  /** Takes in one message; an error says that it can't be read, and ends the channel. */
  readonly onFrame: (frame: Uint8Array) => void;
  /** Once, whoever ended it. */
  readonly onClose: (reason: string) => void;
}

/** One connection between a node and a gateway, which carries messages behind their length. */
export class FrameChannel {
  private readonly reader = new FrameReader();
  private hasEnded = false;

  constructor(
    private readonly socket: Socket,
    private readonly handlers: ChannelHandlers,
  ) {
    socket.on("data", (chunk: Buffer) => this.take(chunk));
    socket.on("error", (error) => this.close(error.message));
    socket.on("close", () => this.close("the other end closed the connection"));
  }

  /** False once it broke or was ended. */
  get isOpen(): boolean {
    return !this.hasEnded;
  }

  write(bytes: Uint8Array): void {
    if (this.isOpen) this.socket.write(bytes);
  }

  /** Ends it at once; what is on its way is lost. */
  close(reason: string): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.socket.destroy();
    this.handlers.onClose(reason);
  }

  private take(chunk: Buffer): void {
    this.handlers.onData();
    const frames = this.reader.push(chunk);
    if (frames === "tooLong") {
      this.close("a message is longer than allowed");
      return;
    }
    for (const frame of frames) this.read(frame);
  }

  private read(frame: Uint8Array): void {
    if (!this.isOpen) return;
    try {
      this.handlers.onFrame(frame);
    } catch (error) {
      this.close(`a message can't be read: ${String(error)}`);
    }
  }
}
