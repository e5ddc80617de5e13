import type { Socket } from "node:net";
import { FrameReader } from "./frames.js";

/** Callbacks to the owner of a channel. */
export interface ChannelHandlers {
  /** Some bytes arrived, so that the other end is alive. */
  readonly onData: () => void;
  /** Handles one message. When it throws, the message counts as unreadable and the channel is closed. */
  readonly onFrame: (frame: Uint8Array) => void;
  /** Called once, whichever end closed the connection. */
  readonly onClose: (reason: string) => void;
}

/** A connection between a node and a gateway that carries length-prefixed messages. */
export class FrameChannel {
  private readonly reader = new FrameReader();
  private hasClosed = false;

  constructor(
    private readonly socket: Socket,
    private readonly handlers: ChannelHandlers,
  ) {
    socket.on("data", (chunk: Buffer) => this.handleChunk(chunk));
    socket.on("error", (error) => this.close(error.message));
    socket.on("close", () => this.close("the other end closed the connection"));
  }

  /** False once the connection broke or was closed. */
  get isOpen(): boolean {
    return !this.hasClosed;
  }

  write(bytes: Uint8Array): void {
    if (this.isOpen) this.socket.write(bytes);
  }

  /** Closes the connection at once; data in transit is lost. */
  close(reason: string): void {
    if (this.hasClosed) return;
    this.hasClosed = true;
    this.socket.destroy();
    this.handlers.onClose(reason);
  }

  private handleChunk(chunk: Buffer): void {
    this.handlers.onData();
    const frames = this.reader.push(chunk);
    if (frames === "tooLong") {
      this.close("a message is longer than allowed");
      return;
    }
    for (const frame of frames) this.handleFrame(frame);
  }

  private handleFrame(frame: Uint8Array): void {
    if (!this.isOpen) return;
    try {
      this.handlers.onFrame(frame);
    } catch (error) {
      this.close(`a message can't be decoded: ${String(error)}`);
    }
  }
}
