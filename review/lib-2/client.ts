import { connect, type Socket } from "node:net";

/** The end of one request. `lost`: the connection broke or no answer came in time. */
export type Answer =
  | { readonly type: "complete"; readonly signature: string; readonly rows: readonly string[] }
  | { readonly type: "error"; readonly code: string; readonly text: string }
  | { readonly type: "lost" };

/** A client's connection, with one request at a time. */
export class Client {
  private unparsed = "";
  private rows: string[] = [];
  private end: Answer | undefined;
  private settle: ((answer: Answer) => void) | undefined;
  private isClosed = false;

  private constructor(private readonly socket: Socket) {
    socket.setNoDelay(true);
    socket.on("error", () => undefined);
    socket.on("close", () => {
      this.isClosed = true;
      this.finish(this.end?.type === "error" ? this.end : { type: "lost" });
    });
    socket.on("data", (chunk: Buffer) => {
      const lines = (this.unparsed + chunk.toString("latin1")).split("\r\n");
      this.unparsed = lines.pop() ?? "";
      for (const line of lines) this.handleLine(line);
    });
  }

  /** Opens a session; undefined if it is refused. */
  static async open(port: number, database: string): Promise<Client | undefined> {
    const client = new Client(connect(port, "127.0.0.1"));
    const answer = await client.send(`STARTUP ${database} u1`, 2000);
    if (answer.type === "complete") return client;
    client.close();
    return undefined;
  }

  get isOpen(): boolean {
    return !this.isClosed;
  }

  /** Sends one request. Without an answer in time the connection is closed. */
  send(line: string, timeoutMs: number): Promise<Answer> {
    if (this.isClosed) return Promise.resolve({ type: "lost" });
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.close(), timeoutMs);
      this.settle = (answer) => {
        clearTimeout(timer);
        resolve(answer);
      };
      this.socket.write(`${line}\r\n`, "latin1");
    });
  }

  close(): void {
    this.socket.destroy();
    this.isClosed = true;
    this.finish({ type: "lost" });
  }

  private handleLine(line: string): void {
    const [word = "", ...rest] = line.split(" ");
    if (word === "DATAROW") this.rows.push(rest.join(" "));
    else if (word === "COMPLETE")
      this.end = { type: "complete", signature: rest.join(" "), rows: this.rows };
    else if (word === "ERROR")
      this.end = { type: "error", code: rest[0] ?? "", text: rest.slice(1).join(" ") };
    else if (word === "READY")
      this.finish(this.end ?? { type: "complete", signature: "-", rows: this.rows });
  }

  private finish(answer: Answer): void {
    const { settle } = this;
    this.settle = undefined;
    this.rows = [];
    this.end = undefined;
    settle?.(answer);
  }
}
