import { createServer, type Server, type Socket } from "node:net";
import type { Address, Disposable } from "../model/index.js";
import { LineSplitter } from "./splitter.js";

/** A caller's connection, for writing replies. */
export interface LineConnection {
  write(text: string): void;
  /** Closes the connection after everything written has been sent. */
  end(): void;
}

/** Handles the events of one connection. */
export interface LineHandler {
  handleLine(line: string): void;
  handleUnreadable(reason: "tooLong" | "strayBreak"): void;
  /** A line was not completed within the line timeout. */
  handleLineTimeout(): void;
  handleClose(): void;
}

/** Options of a `LineServer`. */
export interface LineServerOptions {
  readonly address: Address;
  readonly maxLineBytes: number;
  /** Returns how long a line may stay incomplete after the last received byte, in milliseconds. */
  readonly getLineTimeoutMs: () => number;
  readonly accept: (connection: LineConnection) => LineHandler;
}

/** Maximum of connections not yet accepted. Beyond it a caller's SYN is dropped and resent seconds later. */
const backlog = 1024;

/** A TCP server for a line-based protocol. */
export class LineServer implements Disposable {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(private readonly options: LineServerOptions) {
    this.server = createServer({ noDelay: true, allowHalfOpen: false }, (s) => this.accept(s));
  }

  async listen(): Promise<void> {
    const { host, port } = this.options.address;
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen({ port, host, backlog }, resolve);
    });
  }

  /** The port that the server listens on; 0 while it does not listen. */
  get port(): number {
    const address = this.server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  /** Stops accepting connections; open ones stay open. */
  stopAccepting(): void {
    if (this.server.listening) this.server.close();
  }

  dispose(): void {
    this.stopAccepting();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    const splitter = new LineSplitter(this.options.maxLineBytes);
    let lineTimer: NodeJS.Timeout | undefined;
    const connection: LineConnection = {
      write: (text) => {
        if (!socket.destroyed && socket.writable) socket.write(text, "latin1");
      },
      end: () => {
        if (!socket.destroyed) socket.end(() => socket.destroy());
      },
    };
    const handler = this.options.accept(connection);
    socket.on("data", (chunk: Buffer) => {
      for (const event of splitter.push(chunk)) {
        if (event.type === "line") handler.handleLine(event.text);
        else handler.handleUnreadable(event.reason);
      }
      clearTimeout(lineTimer);
      lineTimer = splitter.hasPartialLine
        ? setTimeout(() => handler.handleLineTimeout(), this.options.getLineTimeoutMs())
        : undefined;
    });
    // After an error, such as a reset, the socket emits "close", which is handled below.
    socket.on("error", () => undefined);
    socket.on("close", () => {
      clearTimeout(lineTimer);
      this.sockets.delete(socket);
      handler.handleClose();
    });
  }
}
