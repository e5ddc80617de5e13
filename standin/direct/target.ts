import { createServer, type Server, type Socket } from "node:net";
import type { Address, Disposable } from "../../src/model/index.js";
import { formatLogPosition, type StandinLog, type StandinMember } from "./group.js";

/** A statement that a target ran. */
export interface StandinRun {
  readonly id: string;
  readonly text: string;
  /** The values of the connection at that time. */
  readonly values: Readonly<Record<string, string>>;
  /** Numbers the connection's transactions; 0 outside one. */
  readonly transaction: number;
  readonly connection: number;
  /** Whom the connection was opened for. */
  readonly team: string;
}

/** What a stand-in target may be told. */
export interface StandinTargetOptions {
  readonly service: string;
  readonly maxConnections?: number;
  /** Statements at once; more are turned away. */
  readonly slots?: number;
  readonly workMs?: number;
}

/** Faults that a test sets and clears. */
export interface StandinTargetFaults {
  /** Runs statements whose text matches, and never answers. */
  loseAnswer: RegExp | undefined;
  /** Turns this many statements away. */
  busy: number;
  /** Answers nothing at all. */
  isSilent: boolean;
}

interface Line {
  readonly values: Map<string, string>;
  readonly prepared: Map<string, string>;
  readonly number: number;
  transaction:
    { readonly number: number; readonly isReadOnly: boolean; writes: Write[] } | undefined;
  hasFailed: boolean;
  isStarted: boolean;
  team: string;
  rest: string;
}

interface Write {
  readonly id: string;
  readonly item: string;
  readonly data: string;
}

type Answer = readonly string[];

/** A target that speaks lines, on a log shared with the other members of its group. */
export class StandinLineTarget implements Disposable {
  readonly runs: StandinRun[] = [];
  readonly faults: StandinTargetFaults = { loseAnswer: undefined, busy: 0, isSilent: false };
  readonly member: StandinMember;
  private server: Server | undefined;
  private readonly sockets = new Set<Socket>();
  private running = 0;
  /** Connections that were refused because there were too many. */
  refusedConnections = 0;
  private connections = 0;
  private transactions = 0;
  address: Address = { host: "127.0.0.1", port: 0 };
  /** Milliseconds since the epoch, as the target says it of itself. */
  startedAt = Date.now();

  constructor(
    readonly id: string,
    role: "primary" | "replica",
    private readonly log: StandinLog,
    private readonly options: StandinTargetOptions,
  ) {
    this.member = log.add(id, role);
  }

  get openConnections(): number {
    return this.sockets.size;
  }

  async start(): Promise<void> {
    const server = createServer((socket) => this.accept(socket));
    await new Promise<void>((resolve) => server.listen(this.address.port, "127.0.0.1", resolve));
    const bound = server.address();
    if (bound !== null && typeof bound === "object") {
      this.address = { host: "127.0.0.1", port: bound.port };
    }
    this.server = server;
  }

  /** Breaks every connection and takes no more, as a crash does. */
  async crash(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    for (const socket of this.sockets) socket.destroy();
    if (server !== undefined) await new Promise((resolve) => server.close(resolve));
  }

  /** Starts again under its name and address, with nothing of what it held. */
  async startEmpty(): Promise<void> {
    await this.crash();
    this.member.log = [];
    this.startedAt += 1;
    await this.start();
  }

  dispose(): Promise<void> {
    return this.crash();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    this.connections += 1;
    const line: Line = {
      values: new Map(),
      prepared: new Map(),
      number: this.connections,
      transaction: undefined,
      hasFailed: false,
      isStarted: false,
      team: "",
      rest: "",
    };
    socket.on("error", () => undefined);
    socket.on("close", () => this.sockets.delete(socket));
    socket.on("data", (chunk: Buffer) => {
      const lines = (line.rest + chunk.toString("latin1")).split("\r\n");
      line.rest = lines.pop() ?? "";
      for (const text of lines) void this.answer(socket, line, text);
    });
  }

  private async answer(socket: Socket, line: Line, text: string): Promise<void> {
    if (this.faults.isSilent) return;
    const answer = line.isStarted ? await this.runQuery(line, text) : this.open(line, text);
    if (answer === undefined) return;
    if (!socket.destroyed) socket.write(answer.map((part) => `${part}\r\n`).join(""), "latin1");
    if (!line.isStarted) socket.end();
  }

  private open(line: Line, text: string): Answer {
    const [verb, service, team = "", id] = text.split(" ");
    if (verb !== "STARTUP") return ["ERROR MALFORMED no start"];
    if (service !== this.options.service || (id !== undefined && id !== this.id)) {
      return [`ERROR MISROUTED ${this.id}`];
    }
    if (this.sockets.size > (this.options.maxConnections ?? 16)) {
      this.refusedConnections += 1;
      return ["ERROR TOOMANYCON full"];
    }
    line.isStarted = true;
    line.team = team;
    return [this.formatReady(line)];
  }

  private formatReady(line: Line): string {
    const state = line.transaction === undefined ? "I" : line.hasFailed ? "E" : "T";
    return `READY ${state} ${formatLogPosition(this.member)}`;
  }

  private async runQuery(line: Line, query: string): Promise<Answer | undefined> {
    const [, id = "", ...words] = query.split(" ");
    let text = words.join(" ");
    if (words[0] === "SINCE") {
      const number = Number((words[1] ?? "").split(".")[1]);
      if (this.member.log.length < number) return this.fail(line, "LAGGING behind");
      text = words.slice(2).join(" ");
    }
    const [verb = ""] = text.split(" ");
    if (line.hasFailed && verb !== "ROLLBACK" && verb !== "COMMIT") {
      return this.fail(line, "MALFORMED the transaction has failed");
    }
    if (/^(READ|WRITE|EXECUTE|COMMIT|STATUS)$/.test(verb)) return this.runInSlot(line, id, text);
    return this.runFree(line, text);
  }

  private async runInSlot(line: Line, id: string, text: string): Promise<Answer | undefined> {
    if (this.faults.busy > 0) {
      this.faults.busy -= 1;
      return this.failUnrun(line, "BUSY by order");
    }
    if (this.running >= (this.options.slots ?? 2)) return this.failUnrun(line, "BUSY no slot");
    this.running += 1;
    try {
      const { workMs = 0 } = this.options;
      if (workMs > 0) await new Promise((resolve) => setTimeout(resolve, workMs));
      const answer = this.work(line, id, text);
      return this.faults.loseAnswer?.test(text) === true ? undefined : answer;
    } finally {
      this.running -= 1;
    }
  }

  private work(line: Line, id: string, text: string): Answer {
    const [verb = "", ...rest] = text.split(" ");
    if (verb === "STATUS") return this.complete(line, "-", this.describe());
    if (verb === "COMMIT") return this.commit(line, id, text);
    const statement = verb === "EXECUTE" ? this.expand(line, rest) : text;
    if (statement === undefined) return this.fail(line, "NOSUCHSTMT not prepared");
    this.note(line, id, text);
    const [effect = "", item = "", ...data] = statement.split(" ");
    if (effect === "READ") return this.complete(line, this.sign(id), this.read(line, item));
    if (this.member.role !== "primary") return this.fail(line, `READONLY ${this.id}`);
    const write = { id, item, data: data.join(" ") };
    if (line.transaction === undefined) this.log.commit(this.member, [write]);
    else line.transaction.writes.push(write);
    return this.complete(line, this.sign(id));
  }

  private expand(line: Line, [name = "", ...rest]: readonly string[]): string | undefined {
    const definition = line.prepared.get(name);
    return definition === undefined
      ? undefined
      : `${definition.split(" ")[0] ?? ""} ${rest.join(" ")}`;
  }

  private read(line: Line, item: string): string {
    const own = line.transaction?.writes.findLast((w) => w.item === item);
    const writes = this.member.log.flatMap((commit) => commit.writes);
    return (own ?? writes.findLast((w) => w.item === item))?.data ?? "none";
  }

  private commit(line: Line, id: string, text: string): Answer {
    const { transaction } = line;
    if (transaction === undefined) return this.fail(line, "MALFORMED no transaction");
    line.transaction = undefined;
    if (line.hasFailed) {
      line.hasFailed = false;
      return ["ERROR ABORTED failed before", this.formatReady(line)];
    }
    if (transaction.writes.length > 0 && this.member.role !== "primary") {
      return [`ERROR READONLY ${this.id}`, this.formatReady(line)];
    }
    this.note({ ...line, transaction }, id, text);
    this.log.commit(this.member, transaction.writes);
    return this.complete(line, this.sign(id));
  }

  private runFree(line: Line, text: string): Answer {
    const [verb = "", name = "", ...rest] = text.split(" ");
    switch (verb) {
      case "BEGIN": {
        const isReadOnly = name === "READ";
        if (!isReadOnly && this.member.role !== "primary")
          return this.fail(line, `READONLY ${this.id}`);
        this.transactions += 1;
        line.transaction = { number: this.transactions, isReadOnly, writes: [] };
        return this.complete(line, "-");
      }
      case "ROLLBACK":
        line.transaction = undefined;
        line.hasFailed = false;
        return this.complete(line, "-");
      case "SET":
        line.values.set(name, rest.join(" "));
        return this.complete(line, "-");
      case "PREPARE":
        line.prepared.set(name, rest.join(" "));
        return this.complete(line, "-");
      case "RESET":
        line.values.clear();
        line.prepared.clear();
        return this.complete(line, "-");
      case "DEMOTE":
        return this.demote(line, Number(name));
      default:
        return this.fail(line, "MALFORMED unknown");
    }
  }

  private demote(line: Line, term: number): Answer {
    const { member } = this;
    member.heldTerm = Math.max(member.heldTerm, term);
    if (member.role === "primary" && member.term < term) member.role = "replica";
    return this.complete(line, "-", this.describe());
  }

  private describe(): string {
    const { role, term, heldTerm } = this.member;
    return `${role} ${term} ${formatLogPosition(this.member)} ${heldTerm} 0 ${this.running} ${this.sockets.size}`;
  }

  private complete(line: Line, signature: string, ...rows: readonly string[]): Answer {
    return [
      ...rows.map((row) => `DATAROW ${row}`),
      `COMPLETE ${signature}`,
      this.formatReady(line),
    ];
  }

  /** An error inside a transaction fails it. */
  private fail(line: Line, error: string): Answer {
    if (line.transaction !== undefined) line.hasFailed = true;
    return [`ERROR ${error}`, this.formatReady(line)];
  }

  private failUnrun(line: Line, error: string): Answer {
    return [`ERROR ${error}`, this.formatReady(line)];
  }

  private sign(id: string): string {
    return `${this.id}.${id}`;
  }

  private note(line: Line, id: string, text: string): void {
    const values = Object.fromEntries(line.values);
    const transaction = line.transaction?.number ?? 0;
    const { number: connection, team } = line;
    this.runs.push({ id, text, values, transaction, connection, team });
  }
}
