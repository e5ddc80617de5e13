import { createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { PostgresConnection } from "pg-gateway";
import type { Address } from "../../src/model/index.js";
import { FrameSplitter } from "../../src/target/index.js";
import type { Services } from "./backend.js";
import type { Gate } from "./faults.js";
import { replicationDatabase } from "./link.js";
import { Output } from "./output.js";
import { Session } from "./session.js";
import {
  encodeAuthenticationOk,
  encodeError,
  encodeKeyData,
  encodeParameterStatus,
  encodeReady,
} from "./wire.js";

/** The database name of control connections. They count against no limit and take no slot. */
export const controlDatabase = "standin_control";

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

/** Accepts a target's connections, within their limit and with their set-up time. */
export class Listener {
  private readonly open = new Set<Connection>();
  private server: Server | undefined;
  private nextId = 1;

  constructor(
    private readonly services: Services,
    private listening: Address,
    private readonly limit: number,
    private readonly connectMs: number,
  ) {}

  get address(): Address {
    return this.listening;
  }

  get isListening(): boolean {
    return this.server !== undefined;
  }

  /** How many ordinary connections are open. */
  get count(): number {
    return [...this.open].filter((c) => c.isOrdinary).length;
  }

  /** Listens; a port that was chosen once is kept. */
  async start(): Promise<void> {
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
  }

  /** Breaks all connections and refuses new ones. */
  async stop(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    for (const { socket } of this.open) socket.destroy();
    if (server !== undefined) await new Promise((resolve) => server.close(resolve));
  }

  /** Makes the open ordinary connections silent for good. */
  silence(): void {
    for (const { isOrdinary, output } of this.open) output.isSilent ||= isOrdinary;
  }

  private accept(socket: Socket): void {
    const output = new Output(socket, this.services.faults.running);
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
    const { running, control, replication } = this.services.faults;
    const id = this.nextId++;
    const isFull = this.count >= this.limit;
    connection.isOrdinary = database !== controlDatabase && database !== replicationDatabase;
    const gates = [running];
    if (database === controlDatabase) gates.push(control);
    if (database === replicationDatabase) gates.push(replication);
    const { socket, output } = connection;
    const ready = this.greet(connection, id, connection.isOrdinary && isFull, gates);
    relayMessages(socket, new Session(socket, output, this.services, id, gates, ready));
  }

  private async greet(
    { socket, output }: Connection,
    id: number,
    isRefused: boolean,
    gates: readonly Gate[],
  ): Promise<void> {
    await sleep(this.connectMs);
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

function readDatabase(parameters: Readonly<Record<string, string>> | undefined): string {
  return parameters?.database ?? "";
}
