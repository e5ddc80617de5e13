import { connect, type Socket } from "node:net";
import type { Address, Mark } from "../model/index.js";
import type { CommandResult, Reply, TargetCommand, TargetLink } from "../statement/index.js";
import { LineSplitter } from "./splitter.js";

/** Parses one answer line by line. Returns the reply with the last line, and "more" before it. */
export interface ReplyReader {
  read(line: string): Reply | "more" | "unreadable";
}

/** Encodes commands and parses replies in a target's protocol. */
export interface TargetCodec {
  encode(command: TargetCommand): string;
  /** In the answer to the opening line an error is the last line; the target then closes the connection. */
  createReader(phase: "opening" | "command"): ReplyReader;
}

/** Options of `openLink`. */
export interface LinkOptions {
  readonly target: string;
  readonly address: Address;
  readonly codec: TargetCodec;
  /** The first line that is sent; it is answered with one reply. */
  readonly openingLine: string;
  readonly maxLineBytes: number;
  readonly timeoutMs: number;
}

/** A connection could not be opened. When `kind` is "refused", `refusal` is the target's error reply. */
export class LinkError extends Error {
  override readonly name = "LinkError";

  constructor(
    message: string,
    readonly kind: "unreachable" | "refused",
    readonly refusal?: Reply,
  ) {
    super(message);
  }
}

/** Connects and waits for the answer to the opening line. Rejects with a `LinkError`. */
export async function openLink(options: LinkOptions): Promise<TargetLink> {
  const { host, port } = options.address;
  const socket = connect({ host, port, noDelay: true });
  const link = new LineLink(options, socket);
  const reader = options.codec.createReader("opening");
  const result = await link.exchange(options.openingLine, reader, options.timeoutMs);
  if (result.type === "broken") throw new LinkError(result.reason, "unreachable");
  if (result.reply.end.type === "error") {
    link.close();
    throw new LinkError(result.reply.end.text, "refused", result.reply);
  }
  link.openedAt = result.reply.mark;
  return link;
}

interface Exchange {
  readonly reader: ReplyReader;
  readonly end: (result: CommandResult) => void;
}

class LineLink implements TargetLink {
  readonly target: string;
  openedAt: Mark | undefined;
  private readonly splitter: LineSplitter;
  private current: Exchange | undefined;
  private isOpen = true;

  constructor(
    private readonly options: LinkOptions,
    private readonly socket: Socket,
  ) {
    this.target = options.target;
    this.splitter = new LineSplitter(options.maxLineBytes);
    socket.on("data", (chunk: Buffer) => this.handleChunk(chunk));
    socket.on("error", (error) => this.terminate(error.message));
    socket.on("close", () => this.terminate("the target closed the connection"));
  }

  get isUsable(): boolean {
    return this.isOpen && this.current === undefined;
  }

  run(command: TargetCommand, timeoutMs: number): Promise<CommandResult> {
    const { codec } = this.options;
    return this.exchange(codec.encode(command), codec.createReader("command"), timeoutMs);
  }

  exchange(line: string, reader: ReplyReader, timeoutMs: number): Promise<CommandResult> {
    if (!this.isUsable) {
      const reason = this.isOpen
        ? "not sent: the connection is in use"
        : "the connection is closed";
      return Promise.resolve({ type: "broken", sent: false, reason });
    }
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.terminate("no answer in time"), Math.max(1, timeoutMs));
      const end = (result: CommandResult) => {
        clearTimeout(timer);
        resolve(result);
      };
      this.current = { reader, end };
      this.socket.write(`${line}\r\n`, "latin1");
    });
  }

  close(): void {
    this.terminate("closed here");
  }

  private handleChunk(chunk: Buffer): void {
    for (const event of this.splitter.push(chunk)) {
      if (event.type === "unreadable") this.terminate(`unreadable answer: ${event.reason}`);
      else this.handleLine(event.text);
    }
  }

  /**
   * A line outside an exchange closes the connection. If the connection were used again, the next caller
   * could receive that line as part of its own answer.
   */
  private handleLine(line: string): void {
    const { current } = this;
    if (current === undefined) {
      this.terminate("received a line outside an exchange");
      return;
    }
    const read = current.reader.read(line);
    if (read === "more") return;
    if (read === "unreadable") {
      this.terminate("an answer came that is not of the protocol");
      return;
    }
    this.current = undefined;
    current.end({ type: "answered", reply: read });
  }

  private terminate(reason: string): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.socket.destroy();
    this.current?.end({ type: "broken", sent: true, reason });
    this.current = undefined;
  }
}
