import { connect, type Socket } from "node:net";
import type { Address } from "../../../src/model/index.js";

/** The answer to one request: its rows, its end, and whether a transaction is open afterwards. */
export type LineAnswer =
  | { readonly type: "complete"; readonly rows: readonly string[]; readonly state: string }
  | { readonly type: "error"; readonly code: string; readonly text: string; readonly state: string }
  /** No complete answer arrived before the timeout or the end of the connection. */
  | { readonly type: "lost"; readonly reason: "timeout" | "closed" };

/** Why a session could not be opened. */
export interface OpenFailure {
  readonly reason: string;
}

/** Formats an error without the numbers and names that differ between errors of one cause. */
export function describeError({ code, text }: { readonly code: string; readonly text: string }) {
  return `${code} ${text.replace(/; try again in \d+ ms/, "").replace(/\bi-[\w-]+/g, "TARGET")}`;
}

/** A caller's connection over the line protocol, with one request at a time. */
export class LineClient {
  private unparsed = "";
  private rows: string[] = [];
  private end: string | undefined;
  private settle: ((answer: LineAnswer) => void) | undefined;
  private isOpen = true;

  private constructor(
    readonly node: number,
    private readonly socket: Socket,
  ) {
    socket.setNoDelay(true);
    socket.on("data", (chunk: Buffer) => this.handleData(chunk.toString("latin1")));
    socket.on("error", () => undefined);
    socket.on("close", () => {
      this.isOpen = false;
      // A refused opening is answered with an error alone.
      if (this.end === undefined) this.finish({ type: "lost", reason: "closed" });
      else this.finish(this.buildAnswer(""));
    });
  }

  /** Connects and opens a session. */
  static async open(
    node: number,
    address: Address,
    database: string,
    key: string,
    timeoutMs: number,
  ): Promise<LineClient | OpenFailure> {
    const client = new LineClient(node, connect(address.port, address.host));
    const answer = await client.send(`STARTUP ${database} ${key}`, timeoutMs);
    if (answer.type === "complete") return client;
    client.close();
    if (answer.type === "error") return { reason: describeError(answer) };
    return { reason: `no session: ${answer.reason}` };
  }

  /** Whether another operation can use the connection. */
  get isUsable(): boolean {
    return this.isOpen && this.settle === undefined;
  }

  /** Sends a line and waits for its answer. After a timeout the connection is closed. */
  async send(line: string, timeoutMs: number): Promise<LineAnswer> {
    if (!this.isOpen) return { type: "lost", reason: "closed" };
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.finish({ type: "lost", reason: "timeout" });
        this.close();
      }, timeoutMs);
      this.settle = (answer) => {
        clearTimeout(timer);
        resolve(answer);
      };
      this.socket.write(`${line}\r\n`, "latin1");
    });
  }

  close(): void {
    this.isOpen = false;
    this.socket.destroy();
  }

  private handleData(text: string): void {
    const lines = (this.unparsed + text).split("\r\n");
    this.unparsed = lines.pop() ?? "";
    for (const line of lines) this.handleLine(line);
  }

  private handleLine(line: string): void {
    if (line.startsWith("DATAROW ")) this.rows.push(line.slice("DATAROW ".length));
    else if (line.startsWith("READY ")) this.finish(this.buildAnswer(line.split(" ")[1] ?? ""));
    else this.end = line;
  }

  private buildAnswer(state: string): LineAnswer {
    if (this.end?.startsWith("ERROR ") !== true)
      return { type: "complete", rows: this.rows, state };
    const [, code = "", ...words] = this.end.split(" ");
    return { type: "error", code, text: words.join(" "), state };
  }

  private finish(answer: LineAnswer): void {
    const { settle } = this;
    this.settle = undefined;
    this.rows = [];
    this.end = undefined;
    settle?.(answer);
  }
}
