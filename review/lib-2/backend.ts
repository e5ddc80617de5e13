import { createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { findFreePort } from "../../standin/processes/port.js";

/** A commit in a backend's log. */
export interface Commit {
  readonly term: number;
  readonly number: number;
  readonly id: string;
  readonly item: string;
  readonly data: string;
}

/** The figures of a service's backends. Times are in milliseconds. */
export interface ServiceOptions {
  readonly service: string;
  /** 1: a commit is acknowledged once one replica has received it. */
  readonly syncReplicas: number;
  readonly slots: number;
  readonly queue: number;
  readonly maxConnections: number;
  readonly handshakeMs: number;
  readonly workMs: number;
  /** From a commit until a replica has received it. */
  readonly lagMs: number;
  readonly promoteMs: number;
}

interface Session {
  isStarted: boolean;
  state: "I" | "T" | "E";
  isReadOnly: boolean;
  writes: { readonly id: string; readonly item: string; readonly data: string }[];
  readonly prepared: Map<string, string>;
}

type Lines = readonly string[];

/** How long a superseded primary goes on after it can reach the new one. */
const supersededMs = 1000;
const statusMs = 1;
const pollMs = 1;

/** A sound stand-in of one backend: the line protocol, slots with a queue, and a log. */
export class Backend {
  role: "primary" | "replica";
  term = 1;
  heldTerm = 1;
  log: readonly Commit[] = [];
  /** False while it receives nothing from the primary. */
  isReceiving = true;
  isUp = false;
  /** While true it is partitioned from all nodes and backends: bytes are held up in both directions. */
  isCut = false;
  port = 0;
  private running = 0;
  private readonly waiting: (() => void)[] = [];
  private readonly sockets = new Set<Socket>();
  private server: Server | undefined;

  constructor(
    readonly id: string,
    role: "primary" | "replica",
    private readonly group: BackendGroup,
  ) {
    this.role = role;
  }

  get lastPosition(): string {
    const last = this.log.at(-1);
    return `${last?.term ?? this.term}.${last?.number ?? 0}`;
  }

  /** Starts with the log that it has, at the same port as before. */
  async start(): Promise<void> {
    if (this.port === 0) this.port = await findFreePort();
    const server = createServer({ noDelay: true }, (socket) => this.accept(socket));
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.port, "127.0.0.1", resolve);
    });
    this.server = server;
    this.isUp = true;
  }

  /** Ends at once, as a crash does. */
  crash(): void {
    this.isUp = false;
    this.server?.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.sockets.clear();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    const session: Session = {
      isStarted: false,
      state: "I",
      isReadOnly: false,
      writes: [],
      prepared: new Map(),
    };
    let unparsed = "";
    let work = Promise.resolve();
    socket.on("error", () => undefined);
    socket.on("close", () => this.sockets.delete(socket));
    socket.on("data", (chunk: Buffer) => {
      const lines = (unparsed + chunk.toString("latin1")).split("\r\n");
      unparsed = lines.pop() ?? "";
      for (const line of lines) work = work.then(() => this.answer(socket, session, line));
    });
  }

  private async answer(socket: Socket, session: Session, line: string): Promise<void> {
    await this.waitWhileCut();
    if (isGone(socket)) return;
    const isOpening = !session.isStarted;
    const lines = isOpening ? await this.open(session, line) : await this.runQuery(session, line);
    await this.waitWhileCut();
    if (isGone(socket)) return;
    socket.write(lines.map((text) => `${text}\r\n`).join(""), "latin1");
    if (isOpening && lines[0]?.startsWith("ERROR") === true) socket.end();
  }

  private async waitWhileCut(): Promise<void> {
    while (this.isCut) await sleep(pollMs);
  }

  private async open(session: Session, line: string): Promise<Lines> {
    const { service, maxConnections, handshakeMs } = this.group.options;
    const [verb, named, , id] = line.split(" ");
    if (verb !== "STARTUP") return ["ERROR MALFORMED no start"];
    if (named !== service || (id !== undefined && id !== this.id))
      return [`ERROR MISROUTED ${this.id}`];
    if (this.sockets.size > maxConnections) return ["ERROR TOOMANYCON full"];
    await this.holdSlot(handshakeMs, Infinity);
    session.isStarted = true;
    return [this.formatReady(session)];
  }

  private async runQuery(session: Session, line: string): Promise<Lines> {
    const [, id = "", ...words] = line.split(" ");
    if (words[0] === "SINCE") {
      if (!this.holds(words[1] ?? "")) return this.fail(session, "LAGGING behind");
      words.splice(0, 2);
    }
    const [verb = "", name = "", ...rest] = words;
    if (session.state === "E" && verb !== "ROLLBACK" && verb !== "COMMIT")
      return this.fail(session, "MALFORMED the transaction has failed");
    switch (verb) {
      case "READ":
      case "WRITE":
        return this.runWork(session, id, verb, name, rest.join(" "));
      case "EXECUTE": {
        const kind = session.prepared.get(name);
        if (kind === undefined) return this.fail(session, "NOSUCHSTMT unknown name");
        const [item = "", ...data] = rest;
        return this.runWork(session, id, kind, item, data.join(" "));
      }
      case "BEGIN":
        if (name !== "READ" && this.role !== "primary")
          return this.fail(session, `READONLY ${this.id}`);
        Object.assign(session, { state: "T", isReadOnly: name === "READ", writes: [] });
        return this.complete(session, "-");
      case "COMMIT":
        return this.commit(session, id);
      case "ROLLBACK":
        Object.assign(session, { state: "I", writes: [] });
        return this.complete(session, "-");
      case "SET":
        return this.complete(session, "-");
      case "RESET":
        session.prepared.clear();
        return this.complete(session, "-");
      case "PREPARE":
        session.prepared.set(name, rest[0] ?? "");
        return this.complete(session, "-");
      case "STATUS":
        return this.showStatus(session);
      case "DEMOTE":
        this.heldTerm = Math.max(this.heldTerm, Number(name));
        if (this.term < Number(name)) this.role = "replica";
        return this.showStatus(session);
      default:
        return this.fail(session, "MALFORMED unknown");
    }
  }

  private async runWork(
    session: Session,
    id: string,
    kind: string,
    item: string,
    data: string,
  ): Promise<Lines> {
    const { workMs, queue } = this.group.options;
    if (!(await this.holdSlot(workMs, queue))) return this.refuse(session, "BUSY no slot");
    if (kind === "READ") {
      const found = this.log.findLast((commit) => commit.item === item)?.data;
      return this.complete(session, `${this.id}.${id}`, found ?? "none");
    }
    if (this.role !== "primary" || session.isReadOnly)
      return this.fail(session, `READONLY ${this.id}`);
    if (session.state === "T") session.writes.push({ id, item, data });
    else await this.group.commit(this, [{ id, item, data }]);
    return this.complete(session, `${this.id}.${id}`);
  }

  private async commit(session: Session, id: string): Promise<Lines> {
    const { workMs, queue } = this.group.options;
    if (!(await this.holdSlot(workMs, queue))) return this.refuse(session, "BUSY no slot");
    const { state, writes } = session;
    Object.assign(session, { state: "I", writes: [] });
    if (state !== "T") return this.fail(session, "ABORTED no open transaction");
    if (writes.length > 0 && this.role !== "primary")
      return this.fail(session, `READONLY ${this.id}`);
    if (writes.length > 0) await this.group.commit(this, writes);
    return this.complete(session, `${this.id}.${id}`);
  }

  private async showStatus(session: Session): Promise<Lines> {
    const { queue } = this.group.options;
    if (!(await this.holdSlot(statusMs, queue))) return this.refuse(session, "BUSY no slot");
    const { role, term, lastPosition, heldTerm, running, sockets } = this;
    const row = `${role} ${term} ${lastPosition} ${heldTerm} 0 ${running} ${sockets.size}`;
    return this.complete(session, "-", row);
  }

  /** Takes a slot for a while, after a wait in the queue; false if that is full. */
  private async holdSlot(ms: number, queue: number): Promise<boolean> {
    if (this.running < this.group.options.slots) this.running += 1;
    else if (this.waiting.length >= queue) return false;
    else await new Promise<void>((resolve) => this.waiting.push(resolve));
    await sleep(ms);
    const next = this.waiting.shift();
    if (next === undefined) this.running -= 1;
    else next();
    return true;
  }

  private holds(position: string): boolean {
    const [term = 0, number = 0] = position.split(".").map(Number);
    return number === 0 || this.log.some((c) => c.term === term && c.number >= number);
  }

  private formatReady({ state }: Session): string {
    return `READY ${state} ${this.lastPosition}`;
  }

  private complete(session: Session, signature: string, ...rows: Lines): Lines {
    const data = rows.map((row) => `DATAROW ${row}`);
    return [...data, `COMPLETE ${signature}`, this.formatReady(session)];
  }

  private fail(session: Session, error: string): Lines {
    if (session.state === "T") session.state = "E";
    return [`ERROR ${error}`, this.formatReady(session)];
  }

  private refuse(session: Session, error: string): Lines {
    return [`ERROR ${error}`, this.formatReady(session)];
  }
}

function isGone(socket: Socket): boolean {
  return socket.destroyed;
}

/** A promotion that took effect, and the log that it left in force. */
export interface Promotion {
  readonly id: string;
  readonly term: number;
  readonly log: readonly Commit[];
}

/** The backends of one service and the replication between them. */
export class BackendGroup {
  readonly backends: Backend[] = [];
  readonly promotions: Promotion[] = [];
  /** The ids of writes that a backend committed after another one had been promoted, unless that is excused. */
  readonly stale = new Set<string>();
  /** What arrives until then isn't counted: it was held up, or its sender's link was disrupted shortly before. */
  excusedUntil = -Infinity;

  constructor(
    readonly options: ServiceOptions,
    private readonly onPromoted: (promotion: Promotion) => void,
    /** Called when a backend runs writes and commits them. */
    private readonly onCommitted: (text: string) => void,
  ) {}

  add(id: string, role: "primary" | "replica"): Backend {
    const backend = new Backend(id, role, this);
    this.backends.push(backend);
    return backend;
  }

  /** The primary of the newest term. */
  get primary(): Backend | undefined {
    const primaries = this.backends.filter(({ role }) => role === "primary");
    return primaries.sort((a, b) => b.term - a.term)[0];
  }

  /** Commits at a primary, and resolves when the commit may be acknowledged. */
  async commit(
    primary: Backend,
    writes: readonly { readonly id: string; readonly item: string; readonly data: string }[],
  ): Promise<void> {
    const { term } = primary;
    const newest = this.promotions.at(-1);
    const isExcused = performance.now() < this.excusedUntil;
    if (newest !== undefined && newest.id !== primary.id && !isExcused)
      for (const { id } of writes) this.stale.add(id);
    const number = (primary.log.at(-1)?.number ?? 0) + 1;
    primary.log = [...primary.log, ...writes.map((write) => ({ ...write, term, number }))];
    const ids = writes.map(({ id }) => id).join(" ");
    this.onCommitted(`${primary.id} runs ${ids} and commits ${term}.${number}`);
    const { syncReplicas, lagMs } = this.options;
    setTimeout(() => this.replicate(), lagMs);
    const countReceived = () =>
      this.backends.filter(
        (b) => b !== primary && b.log.some((c) => c.number >= number && c.term === term),
      ).length;
    // A crash ends the wait without an acknowledgement: the connection is gone then.
    while (primary.isUp && countReceived() < syncReplicas) await sleep(pollMs);
  }

  /** Names a running backend as the next primary; 409 if it does not run. */
  failover(id: string): number {
    const named = this.backends.find((backend) => backend.id === id);
    if (named?.isUp !== true) return 409;
    if (named === this.primary) return 200;
    setTimeout(() => this.promote(named), this.options.promoteMs);
    return 200;
  }

  /** Brings a crashed backend back with its log, as a replica if another was promoted. */
  async restart(backend: Backend): Promise<void> {
    if (this.primary !== backend) backend.role = "replica";
    await backend.start();
    this.replicate();
  }

  /** Makes a superseded primary a replica, a second after it can reach the new one. */
  watchSuperseded(): () => void {
    const reachedSince = new Map<Backend, number>();
    const timer = setInterval(() => {
      const { primary } = this;
      for (const backend of this.backends) {
        const isOld = backend.isUp && backend.role === "primary" && backend !== primary;
        if (!isOld || primary?.isUp !== true || backend.isCut || primary.isCut) {
          reachedSince.delete(backend);
          continue;
        }
        const since = reachedSince.get(backend) ?? performance.now();
        reachedSince.set(backend, since);
        if (performance.now() - since >= supersededMs) backend.role = "replica";
      }
    }, 10);
    return () => clearInterval(timer);
  }

  /** Sends the primary's log to all replicas that receive. */
  replicate(): void {
    const { primary } = this;
    if (primary?.isUp !== true) return;
    for (const replica of this.backends) {
      if (replica === primary || !replica.isUp || !replica.isReceiving) continue;
      if (replica.isCut || primary.isCut) continue;
      if (replica.role === "primary" || replica.heldTerm > primary.term) continue;
      replica.log = primary.log;
      replica.term = primary.term;
    }
  }

  private promote(backend: Backend): void {
    if (!backend.isUp) return;
    const term = Math.max(...this.backends.map((b) => Math.max(b.term, b.heldTerm))) + 1;
    Object.assign(backend, { role: "primary", term, heldTerm: term, isReceiving: true });
    const promotion = { id: backend.id, term, log: backend.log };
    this.promotions.push(promotion);
    this.replicate();
    this.onPromoted(promotion);
  }
}
