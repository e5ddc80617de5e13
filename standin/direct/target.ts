import { createServer, type Server, type Socket } from "node:net";
import type { Address, Disposable } from "../../src/model/index.js";
import { createLineSession, expandWork, findLastWrite, type LineSession } from "./line-session.js";
import { TargetSlots } from "./slots.js";
import { formatLogPosition, type StandinLog, type StandinMember } from "./group.js";

/** A statement that a target executed. */
export interface StandinRun {
  readonly id: string;
  readonly text: string;
  /** The values that `SET` had given the connection at that time. */
  readonly values: Readonly<Record<string, string>>;
  /** The number of the transaction, counted over the target; 0 outside a transaction. */
  readonly transaction: number;
  readonly connection: number;
  /** The team of the connection, from its STARTUP request. */
  readonly team: string;
}

/** Options of a stand-in target. */
export interface StandinTargetOptions {
  readonly service: string;
  /** Default 16. */
  readonly maxConnections?: number;
  /** Concurrent statements; further ones wait in the queue. Default 2. */
  readonly slots?: number;
  /** How many statements may wait for a slot; further ones are refused as busy. Default 0. */
  readonly queue?: number;
  /** How long a statement holds its slot, in milliseconds. Default 0. */
  readonly workMs?: number;
  /** Computes that time from the statement's text, in place of `workMs`. */
  readonly getWorkMs?: (text: string) => number;
  /** How long the opening of a connection takes, in milliseconds; it holds a slot. Default 0. */
  readonly connectMs?: number;
  /** Whether `runs` is kept; a long run sets it to false. Default true. */
  readonly keepsRuns?: boolean;
  /** Called with the id of each caller's statement that arrives outside a transaction, or as the first of one. */
  readonly onArrival?: (id: string) => void;
}

/** Faults that a test injects and clears. */
export interface StandinTargetFaults {
  /** Statements that match are executed but never answered. */
  loseAnswer: RegExp | undefined;
  /** The number of further statements to refuse as busy. */
  busy: number;
  /** While true, no request is answered. */
  isSilent: boolean;
  /** The factor by which statements take longer. */
  slowness: number;
}

type Answer = readonly string[];

const defaultSlots = 2;
/** How often a commit that waits for its replicas looks for them, in milliseconds. */
const receivedPollMs = 2;
/** The id of statements that no caller sent. */
const systemId = "-";

/** A stand-in target with a text protocol, on a log that it shares with the other members of its group. */
export class StandinLineTarget implements Disposable {
  readonly runs: StandinRun[] = [];
  readonly faults: StandinTargetFaults = {
    loseAnswer: undefined,
    busy: 0,
    isSilent: false,
    slowness: 1,
  };
  readonly member: StandinMember;
  private server: Server | undefined;
  private readonly sockets = new Set<Socket>();
  private readonly slots: TargetSlots;
  /** Connections whose other end is gone without a word, and that are still counted. */
  private lingeringCount = 0;
  private lingerUntil = 0;
  private lingerMs = 0;
  /** The number of connections refused because of `maxConnections`. */
  refusedConnections = 0;
  private connections = 0;
  private transactions = 0;
  address: Address = { host: "127.0.0.1", port: 0 };
  /** The start time of the target, in milliseconds since the epoch. */
  startedAt = Date.now();

  constructor(
    readonly id: string,
    role: "primary" | "replica",
    private readonly log: StandinLog,
    private readonly options: StandinTargetOptions,
  ) {
    this.member = log.add(id, role);
    this.slots = new TargetSlots(options.slots ?? defaultSlots, options.queue ?? 0);
  }

  /** The connections that count towards `maxConnections`. */
  get openConnections(): number {
    return this.sockets.size + this.lingeringCount;
  }

  /** Counts connections that others close in the next moment for longer, as after a loss of their machines' power. */
  linger(closingMs: number, forMs: number): void {
    this.lingerUntil = performance.now() + closingMs;
    this.lingerMs = forMs;
  }

  async start(): Promise<void> {
    const server = createServer((socket) => this.accept(socket));
    await new Promise<void>((resolve) => server.listen(this.address.port, "127.0.0.1", resolve));
    const boundAddress = server.address();
    if (boundAddress !== null && typeof boundAddress === "object") {
      this.address = { host: "127.0.0.1", port: boundAddress.port };
    }
    this.server = server;
  }

  /** Closes every connection and the listening socket, as a crash does. */
  async crash(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    for (const socket of this.sockets) socket.destroy();
    if (server !== undefined) await new Promise((resolve) => server.close(resolve));
  }

  /** Restarts under the same id and address with its log. */
  async restart(): Promise<void> {
    await this.crash();
    this.startedAt += 1;
    await this.start();
  }

  /** Restarts under the same id and address with an empty log. */
  async startEmpty(): Promise<void> {
    this.member.log = [];
    await this.restart();
  }

  dispose(): Promise<void> {
    return this.crash();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    this.connections += 1;
    const session = createLineSession(this.connections);
    socket.on("error", () => undefined);
    socket.on("close", () => this.handleClose(socket));
    socket.on("data", (chunk: Buffer) => {
      const lines = (session.unparsed + chunk.toString("latin1")).split("\r\n");
      session.unparsed = lines.pop() ?? "";
      for (const text of lines) void this.answer(socket, session, text);
    });
  }

  private handleClose(socket: Socket): void {
    this.sockets.delete(socket);
    if (this.server === undefined || performance.now() > this.lingerUntil) return;
    this.lingeringCount += 1;
    setTimeout(() => (this.lingeringCount -= 1), this.lingerMs).unref();
  }

  private async answer(socket: Socket, session: LineSession, text: string): Promise<void> {
    if (this.faults.isSilent) return;
    const answer = session.isStarted
      ? await this.runQuery(session, text)
      : await this.open(session, text);
    if (answer === undefined) return;
    if (!socket.destroyed) socket.write(answer.map((part) => `${part}\r\n`).join(""), "latin1");
    if (!session.isStarted) socket.end();
  }

  private async open(session: LineSession, text: string): Promise<Answer> {
    const [verb, service, team = "", id] = text.split(" ");
    if (verb !== "STARTUP") return ["ERROR MALFORMED no start"];
    if (service !== this.options.service || (id !== undefined && id !== this.id)) {
      return [`ERROR MISROUTED ${this.id}`];
    }
    if (this.openConnections > (this.options.maxConnections ?? 16)) {
      this.refusedConnections += 1;
      return ["ERROR TOOMANYCON full"];
    }
    const { connectMs = 0 } = this.options;
    if (connectMs > 0) await this.slots.hold(connectMs);
    session.isStarted = true;
    session.team = team;
    return [this.formatReady(session)];
  }

  private formatReady(session: LineSession): string {
    const state = session.transaction === undefined ? "I" : session.hasFailed ? "E" : "T";
    return `READY ${state} ${formatLogPosition(this.member)}`;
  }

  private async runQuery(session: LineSession, query: string): Promise<Answer | undefined> {
    const [, id = "", ...words] = query.split(" ");
    this.noteArrival(session, id);
    let text = words.join(" ");
    if (words[0] === "SINCE") {
      const number = Number((words[1] ?? "").split(".")[1]);
      if (this.member.log.length < number) return this.fail(session, "LAGGING behind");
      text = words.slice(2).join(" ");
    }
    const [verb = ""] = text.split(" ");
    if (session.hasFailed && verb !== "ROLLBACK" && verb !== "COMMIT") {
      return this.fail(session, "MALFORMED the transaction has failed");
    }
    if (/^(READ|WRITE|EXECUTE|COMMIT|STATUS)$/.test(verb)) {
      const before = this.member.log.length;
      const answer = await this.runInSlot(session, id, text);
      const after = this.member.log.length;
      const isWaiting = this.log.syncReplicas > 0 && verb !== "STATUS" && after > before;
      return !isWaiting || (await this.waitUntilReceived(after)) ? answer : undefined;
    }
    return this.runWithoutSlot(session, text);
  }

  private noteArrival({ transaction }: LineSession, id: string): void {
    if (id === systemId) return;
    if (transaction?.hasStatements !== true) this.options.onArrival?.(id);
    if (transaction !== undefined) transaction.hasStatements = true;
  }

  private async runInSlot(
    session: LineSession,
    id: string,
    text: string,
  ): Promise<Answer | undefined> {
    if (this.faults.busy > 0) {
      this.faults.busy -= 1;
      return this.refuseAsBusy(session, "BUSY by order");
    }
    if (!(await this.slots.acquire())) return this.refuseAsBusy(session, "BUSY no slot");
    try {
      const { workMs: fixedMs = 0, getWorkMs } = this.options;
      const workMs = (getWorkMs?.(text) ?? fixedMs) * this.faults.slowness;
      if (workMs > 0) await new Promise((resolve) => setTimeout(resolve, workMs));
      const answer = this.execute(session, id, text);
      return this.faults.loseAnswer?.test(text) === true ? undefined : answer;
    } finally {
      this.slots.release();
    }
  }

  /** Waits until the log is received by as many replicas as acknowledge a commit; false if this target ended first. */
  private async waitUntilReceived(length: number): Promise<boolean> {
    const { server, member } = this;
    const { term } = member;
    while (!this.log.isReceived({ ...member, term }, length)) {
      if (this.server !== server || member.role !== "primary") return false;
      await new Promise((resolve) => setTimeout(resolve, receivedPollMs));
    }
    return true;
  }

  private execute(session: LineSession, id: string, text: string): Answer {
    const [verb = "", ...rest] = text.split(" ");
    if (verb === "STATUS") return this.complete(session, "-", this.formatStatus());
    if (verb === "COMMIT") return this.commit(session, id, text);
    const statement = verb === "EXECUTE" ? expandWork(session, rest) : text;
    if (statement === undefined) return this.fail(session, "NOSUCHSTMT not prepared");
    this.recordRun(session, id, text);
    const [effect = "", item = "", ...data] = statement.split(" ");
    if (effect === "READ")
      return this.complete(session, this.formatSignature(id), this.read(session, item));
    if (this.member.role !== "primary") return this.fail(session, `READONLY ${this.id}`);
    const write = { id, item, data: data.join(" ") };
    if (session.transaction === undefined) this.log.commit(this.member, [write]);
    else session.transaction.writes.push(write);
    return this.complete(session, this.formatSignature(id));
  }

  private read(session: LineSession, item: string): string {
    const own = session.transaction?.writes.findLast((w) => w.item === item);
    return (own ?? findLastWrite(this.member.log, item))?.data ?? "none";
  }

  private commit(session: LineSession, id: string, text: string): Answer {
    const { transaction } = session;
    if (transaction === undefined) return this.fail(session, "MALFORMED no transaction");
    session.transaction = undefined;
    if (session.hasFailed) {
      session.hasFailed = false;
      return ["ERROR ABORTED failed before", this.formatReady(session)];
    }
    if (transaction.writes.length > 0 && this.member.role !== "primary") {
      return [`ERROR READONLY ${this.id}`, this.formatReady(session)];
    }
    this.recordRun({ ...session, transaction }, id, text);
    this.log.commit(this.member, transaction.writes);
    return this.complete(session, this.formatSignature(id));
  }

  private runWithoutSlot(session: LineSession, text: string): Answer {
    const [verb = "", name = "", ...rest] = text.split(" ");
    switch (verb) {
      case "BEGIN": {
        const isReadOnly = name === "READ";
        if (!isReadOnly && this.member.role !== "primary")
          return this.fail(session, `READONLY ${this.id}`);
        this.transactions += 1;
        session.transaction = {
          number: this.transactions,
          isReadOnly,
          writes: [],
          hasStatements: false,
        };
        return this.complete(session, "-");
      }
      case "ROLLBACK":
        session.transaction = undefined;
        session.hasFailed = false;
        return this.complete(session, "-");
      case "SET":
        session.values.set(name, rest.join(" "));
        return this.complete(session, "-");
      case "PREPARE":
        session.prepared.set(name, rest.join(" "));
        return this.complete(session, "-");
      case "RESET":
        session.values.clear();
        session.prepared.clear();
        return this.complete(session, "-");
      case "DEMOTE":
        return this.demote(session, Number(name));
      default:
        return this.fail(session, "MALFORMED unknown");
    }
  }

  private demote(session: LineSession, term: number): Answer {
    const { member } = this;
    member.heldTerm = Math.max(member.heldTerm, term);
    if (member.role === "primary" && member.term < term) member.role = "replica";
    return this.complete(session, "-", this.formatStatus());
  }

  private formatStatus(): string {
    const { role, term, heldTerm } = this.member;
    return `${role} ${term} ${formatLogPosition(this.member)} ${heldTerm} 0 ${this.slots.runningCount} ${this.openConnections}`;
  }

  private complete(session: LineSession, signature: string, ...rows: readonly string[]): Answer {
    return [
      ...rows.map((row) => `DATAROW ${row}`),
      `COMPLETE ${signature}`,
      this.formatReady(session),
    ];
  }

  /** Answers with an error, which also fails an open transaction. */
  private fail(session: LineSession, error: string): Answer {
    if (session.transaction !== undefined) session.hasFailed = true;
    return [`ERROR ${error}`, this.formatReady(session)];
  }

  private refuseAsBusy(session: LineSession, error: string): Answer {
    return [`ERROR ${error}`, this.formatReady(session)];
  }

  private formatSignature(id: string): string {
    return `${this.id}.${id}`;
  }

  private recordRun(session: LineSession, id: string, text: string): void {
    if (this.options.keepsRuns === false) return;
    const values = Object.fromEntries(session.values);
    const transaction = session.transaction?.number ?? 0;
    const { number: connection, team } = session;
    this.runs.push({ id, text, values, transaction, connection, team });
  }
}
