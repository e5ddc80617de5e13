import { createServer, type Server, type Socket } from "node:net";
import type { Address, Disposable } from "../model/index.js";
import { LineSplitter } from "./splitter.js";

/** One connection of a caller, as the server sees it. */
export interface LineConnection {
  write(text: string): void;
  /** Sends what is written and closes; nothing further is read. */
  end(): void;
}

/** What a server does with one connection. */
export interface LineHandler {
  handleLine(line: string): void;
  handleUnreadable(reason: "tooLong" | "strayBreak"): void;
  /** Half a line has waited for longer than the limit. */
  handleLineTimeout(): void;
  handleClose(): void;
}

/** What a line server is built from. */
export interface LineServerOptions {
  readonly address: Address;
  readonly maxLineBytes: number;
  /** How long a line may take from its first byte to its end, in milliseconds. */
  readonly getLineTimeoutMs: () => number;
  readonly accept: (connection: LineConnection) => LineHandler;
}

/** Waiting connections; when the queue is full a caller's first packet is lost for seconds. */
const backlog = 1024;

/** Serves a protocol of lines over TCP. */
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

  /** The port in use. */
  get port(): number {
    const address = this.server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  /** Accepts no more connections; open ones stay. */
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
    let stall: NodeJS.Timeout | undefined;
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
      clearTimeout(stall);
      stall = splitter.hasPartialLine
        ? setTimeout(() => handler.handleLineTimeout(), this.options.getLineTimeoutMs())
        : undefined;
    });
    // A reset brings an error and then the close, which is handled below.
    socket.on("error", () => undefined);
    socket.on("close", () => {
      clearTimeout(stall);
      this.sockets.delete(socket);
      handler.handleClose();
    });
  }
}
