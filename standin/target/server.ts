import { createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { PostgresConnection } from "pg-gateway";
import type { Address, Target } from "../../src/model/index.js";
import { FrameSplitter } from "../../src/target/index.js";
import type { Services } from "./backend.js";
import { Control } from "./control.js";
import { Faults, type Gate } from "./faults.js";
import { Link, replicationDatabase } from "./link.js";
import { Member, type Following } from "./member.js";
import { Output } from "./output.js";
import { Session } from "./session.js";
import { Slots } from "./slots.js";
import { loadParser } from "./sql/index.js";
import { StatementRecord } from "./statement.js";
import {
  encodeAuthenticationOk,
  encodeError,
  encodeKeyData,
  encodeParameterStatus,
  encodeReady,
} from "./wire.js";

/** The database name of control connections. They count against no limit and take no slot. */
export const controlDatabase = "standin_control";

/** How one stand-in target behaves. */
export interface StandinTargetOptions {
  readonly name: string;
  readonly dataCentre?: string;
  /** Default 127.0.0.1. */
  readonly host?: string;
  /** Default 0: any free port, the same one after a restart. */
  readonly port?: number;
  /** Statements worked on at once. Default 5. */
  readonly slots?: number;
  /** Ordinary connections at once. Default 55. */
  readonly connections?: number;
  /** Time to set up a connection, in milliseconds. Default 12. */
  readonly connectMs?: number;
  /** Time a statement holds its slot, in milliseconds. Default 1. */
  readonly serviceMs?: number;
  /** Replication lag while it is a replica, in milliseconds. Default 0. */
  readonly lagMs?: number;
}

interface Connection {
  readonly socket: Socket;
  readonly output: Output;
  isOrdinary: boolean;
}

const announced = {
  server_version: "17.0 (radishwalk stand-in)",
  server_encoding: "UTF8",
  client_encoding: "UTF8",
  DateStyle: "ISO, MDY",
  TimeZone: "UTC",
  integer_datetimes: "on",
  standard_conforming_strings: "on",
} as const;

/**
 * A database group's target in this process: the PostgreSQL protocol, terms, a log with
 * replication, slots, limited connections and switches for faults. It starts as primary of the
 * first term; `member.follow` makes it a replica.
 */
export class StandinTarget {
  readonly name: string;
  readonly member: Member;
  readonly faults = new Faults();
  readonly statements = new StatementRecord();
  readonly slots: Slots;
  private readonly services: Services;
  private readonly open = new Set<Connection>();
  private server: Server | undefined;
  private link: { readonly of: Following; readonly link: Link } | undefined;
  private listening: Address;
  private lag: number;
  private nextId = 1;

  constructor(private readonly options: StandinTargetOptions) {
    this.name = options.name;
    this.member = new Member(options.name);
    this.slots = new Slots(options.slots ?? 5);
    this.listening = { host: options.host ?? "127.0.0.1", port: options.port ?? 0 };
    this.lag = options.lagMs ?? 0;
    const { member, slots, faults, statements: record } = this;
    const control = new Control(member, record, {
      fault: ([name, value]) => this.applyFault(String(name), Number(value ?? 0)),
      load: () => ({ busy: slots.busy, waiting: slots.waiting, connections: this.ordinary }),
    });
    this.services = { member, slots, faults, record, control, serviceMs: options.serviceMs ?? 1 };
    member.subscribe(() => this.updateLink());
  }

  /** Where it listens; the port is known once it has started. */
  get address(): Address {
    return this.listening;
  }

  /** What the platform says of it. */
  get target(): Target {
    return {
      name: this.name,
      dataCentre: this.options.dataCentre ?? "standin",
      address: this.listening,
      slots: this.slots.size,
      connections: this.limit,
    };
  }

  /** How many connections are open, control and replication not counted. */
  get ordinary(): number {
    return [...this.open].filter((c) => c.isOrdinary).length;
  }

  get lagMs(): number {
    return this.lag;
  }

  /** Sets the lag of what it copies, in milliseconds, for records on their way as well. */
  setLag(ms: number): void {
    this.lag = ms;
    this.link?.link.update();
  }

  /** Starts to listen, at first and after `kill`. Log, role and fence are what they were. */
  async start(): Promise<void> {
    await loadParser();
    const server = createServer({ noDelay: true }, (socket) => this.accept(socket));
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.listening.port, this.listening.host, resolve);
    });
    const bound = server.address();
    if (bound !== null && typeof bound === "object") {
      this.listening = { host: this.listening.host, port: bound.port };
    }
    this.server = server;
    this.updateLink();
  }

  /** Drops all connections and refuses new ones, as a crash does. The log is kept. */
  async kill(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    this.link?.link.stop();
    this.link = undefined;
    this.faults.clear();
    for (const { socket } of this.open) socket.destroy();
    if (server !== undefined) await new Promise((resolve) => server.close(resolve));
  }

  /** Makes the open ordinary connections silent for good; new ones work. */
  silenceConnections(): void {
    for (const connection of this.open)
      if (connection.isOrdinary) connection.output.isSilent = true;
  }

  async dispose(): Promise<void> {
    await this.kill();
  }

  private get limit(): number {
    return this.options.connections ?? 55;
  }

  private updateLink(): void {
    const wanted = this.server === undefined ? undefined : this.member.followed;
    if (
      this.link !== undefined &&
      (this.link.of !== wanted || !this.member.canCopy(this.link.of))
    ) {
      this.link.link.stop();
      this.link = undefined;
    }
    if (this.link !== undefined || wanted === undefined || !this.member.canCopy(wanted)) return;
    const gates = [this.faults.running, this.faults.replication];
    this.link = { of: wanted, link: new Link(this.member, wanted, gates, () => this.lag) };
  }

  private accept(socket: Socket): void {
    const output = new Output(socket, this.faults.running);
    const connection: Connection = { socket, output, isOrdinary: false };
    this.open.add(connection);
    socket.on("error", () => undefined);
    socket.on("close", () => this.open.delete(connection));
    const gateway = new PostgresConnection(socket, {
      onStartup: ({ clientInfo }) => {
        gateway.detach();
        this.startSession(connection, readDatabase(clientInfo?.parameters));
        return true;
      },
    });
  }

  private startSession(connection: Connection, database: string): void {
    const { faults } = this;
    const id = this.nextId++;
    const isOver = this.ordinary >= this.limit;
    connection.isOrdinary = database !== controlDatabase && database !== replicationDatabase;
    const gates: Gate[] = [faults.running];
    if (database === controlDatabase) gates.push(faults.control);
    if (database === replicationDatabase) gates.push(faults.replication);
    const ready = this.greet(connection, id, connection.isOrdinary && isOver, gates);
    const { socket, output } = connection;
    const session = new Session(socket, output, this.services, id, gates, ready);
    relayMessages(socket, session);
  }

  private async greet(
    { socket, output }: Connection,
    id: number,
    isRefused: boolean,
    gates: readonly Gate[],
  ): Promise<void> {
    await sleep(this.options.connectMs ?? 12);
    for (const gate of gates) await gate.wait();
    if (isRefused) {
      output.push(encodeError("FATAL", "53300", "sorry, too many clients already"));
      await output.flush();
      socket.end();
      return;
    }
    output.push(encodeAuthenticationOk());
    for (const [name, value] of Object.entries(announced)) {
      output.push(encodeParameterStatus(name, value));
    }
    output.push(encodeKeyData(id));
    output.push(encodeReady("I"));
    await output.flush();
  }

  /** `standin_fault(name, value)`, the switches as a control function. */
  private applyFault(name: string, value: number): string {
    const { faults } = this;
    switch (name) {
      case "kill":
        setImmediate(() => void this.kill());
        break;
      case "freeze":
        this.freezeFor(value);
        break;
      case "slow":
        faults.slowFactor = value;
        break;
      case "silence":
        this.silenceConnections();
        break;
      case "loseCommitAnswers":
        faults.loseCommitAnswers(value, "break");
        break;
      case "cutReplication":
        setGate(faults.replication, value > 0);
        break;
      case "lag":
        this.setLag(value);
        break;
      default:
        return `unknown fault ${name}`;
    }
    return "done";
  }

  /** Over a connection only a freeze that ends by itself can be asked for. */
  private freezeFor(ms: number): void {
    this.faults.running.close();
    setTimeout(() => this.faults.running.open(), ms);
  }
}

/**
 * Splits what a client sends after its start-up. `pg-gateway` 0.2.4 cuts every message but the
 * first of a chunk at a false place, so that pipelined ones come out empty; it only does start-ups.
 */
function relayMessages(socket: Socket, session: Session): void {
  const frames = new FrameSplitter();
  socket.on("data", (chunk: Buffer) => {
    try {
      for (const message of frames.push(chunk)) session.receive(message);
    } catch {
      socket.destroy();
    }
  });
}

function setGate(gate: Gate, isClosed: boolean): void {
  if (isClosed) gate.close();
  else gate.open();
}

function readDatabase(parameters: Readonly<Record<string, string>> | undefined): string {
  return parameters?.database ?? "";
}
