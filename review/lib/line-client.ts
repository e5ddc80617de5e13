import { connect, type Socket } from "node:net";
import type { Address } from "../../src/model/index.js";

/** The answer to one request. `end` is the COMPLETE or ERROR line; `closed` when the connection ended before READY. */
export interface Answer {
  readonly lines: readonly string[];
  readonly end: string;
  readonly state: string;
  readonly isClosed: boolean;
}

/** A client's session in the users' line protocol, with one request at a time. */
export class LineClient {
  private unparsed = "";
  private lines: string[] = [];
  private settle: ((answer: Answer) => void) | undefined;
  private hasClosed = false;

  private constructor(private readonly socket: Socket) {
    socket.on("data", (chunk: Buffer) => this.receive(chunk.toString("latin1")));
    socket.on("error", () => this.close());
    socket.on("close", () => this.close());
  }

  static async open(address: Address, database: string, user = "u1"): Promise<LineClient> {
    const client = new LineClient(connect({ ...address, noDelay: true }));
    const answer = await client.send(`STARTUP ${database} ${user}`);
    if (answer.isClosed) throw new Error(`no session: ${answer.end}`);
    return client;
  }

  get isClosed(): boolean {
    return this.hasClosed;
  }

  query(id: string, text: string): Promise<Answer> {
    return this.send(`QUERY ${id} ${text}`);
  }

  end(): void {
    this.socket.destroy();
  }

  private send(line: string): Promise<Answer> {
    return new Promise((resolve) => {
      this.lines = [];
      this.settle = resolve;
      if (this.hasClosed) this.finish("", true);
      else this.socket.write(`${line}\r\n`, "latin1");
    });
  }

  private receive(text: string): void {
    const parts = (this.unparsed + text).split("\r\n");
    this.unparsed = parts.pop() ?? "";
    for (const line of parts) {
      this.lines.push(line);
      if (line.startsWith("READY ")) this.finish(line.split(" ")[1] ?? "", false);
    }
  }

  private close(): void {
    this.hasClosed = true;
    this.finish("", true);
  }

  private finish(state: string, isClosed: boolean): void {
    const { settle, lines } = this;
    this.settle = undefined;
    const end = lines.find((line) => /^(COMPLETE|ERROR) /.test(line)) ?? "";
    settle?.({ lines, end, state, isClosed });
  }
}
