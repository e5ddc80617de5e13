import { createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { PostgresConnection } from "pg-gateway";
import type { Address } from "../../src/model/index.js";
import { FrameSplitter } from "../../src/target/index.js";
import type { Services } from "./execution.js";
import type { Channel, Faults, Gate } from "./faults.js";
import { replicationDatabase } from "./replication-link.js";
import { Output } from "./output.js";
import { Session } from "./session.js";
import {
  encodeAuthenticationOk,
  encodeError,
  encodeKeyData,
  encodeParameterStatus,
  encodeReady,
} from "./wire.js";

/** The database name of control connections, which count against no limit and take no slot. */
export const controlDatabase = "standin_control";

interface Connection {
  readonly socket: Socket;
  isOrdinary: boolean;
  session?: Session;
  output?: Output;
}

const startupParameters = {
  server_version: "17.0 (radishwalk stand-in)",
  server_encoding: "UTF8",
  client_encoding: "UTF8",
  DateStyle: "ISO, MDY",
  TimeZone: "UTC",
  integer_datetimes: "on",
  standard_conforming_strings: "on",
} as const;

/** Accepts a target's connections, enforcing the connection limit and the set-up time. */
export class Listener {
  private readonly open = new Set<Connection>();
  private server: Server | undefined;
  private nextId = 1;

  constructor(
    private readonly services: Services,
    private boundAddress: Address,
    private readonly maxConnections: number,
    private readonly connectMs: number,
  ) {}

  get address(): Address {
    return this.boundAddress;
  }

  get isListening(): boolean {
    return this.server !== undefined;
  }

  /** Number of open ordinary connections: neither control nor replication. */
  get connectionCount(): number {
    return [...this.open].filter((c) => c.isOrdinary).length;
  }

  /** Starts listening; a restart reuses the port that the first start was given. */
  async start(): Promise<void> {
    const server = createServer({ noDelay: true }, (socket) => this.accept(socket));
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.boundAddress.port, this.boundAddress.host, resolve);
    });
    const bound = server.address();
    if (bound !== null && typeof bound === "object") {
      this.boundAddress = { host: this.boundAddress.host, port: bound.port };
    }
    this.server = server;
  }

  /** Destroys all connections and stops listening. */
  async stop(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    for (const { socket, session } of this.open) {
      session?.kill();
      socket.destroy();
    }
    if (server !== undefined) await new Promise((resolve) => server.close(resolve));
  }

  /** Stops all output on the open ordinary connections permanently. */
  silenceConnections(): void {
    for (const { isOrdinary, output } of this.open) {
      if (isOrdinary && output !== undefined) output.isSilent = true;
    }
  }

  private accept(socket: Socket): void {
    const connection: Connection = { socket, isOrdinary: false };
    this.open.add(connection);
    socket.on("error", () => undefined);
    socket.on("close", () => this.open.delete(connection));
    const gateway = new PostgresConnection(socket, {
      onStartup: ({ clientInfo }) => {
        gateway.detach();
        this.startSession(connection, readDatabaseName(clientInfo?.parameters));
        return true;
      },
    });
  }

  private startSession(connection: Connection, database: string): void {
    const { faults } = this.services;
    const { socket } = connection;
    const id = this.nextId++;
    const isFull = this.connectionCount >= this.maxConnections;
    const channel = findChannel(faults, database);
    connection.isOrdinary = channel === faults.statements;
    const gates = [faults.running, channel.requests];
    const output = new Output(socket, [faults.running, channel.answers]);
    const ready = this.answerStartup(socket, output, id, connection.isOrdinary && isFull, gates);
    connection.output = output;
    connection.session = new Session(socket, output, this.services, id, gates, ready);
    relayMessages(socket, connection.session);
  }

  private async answerStartup(
    socket: Socket,
    output: Output,
    id: number,
    isRefused: boolean,
    gates: readonly Gate[],
  ): Promise<void> {
    await sleep(this.connectMs);
    for (const gate of gates) await gate.wait();
    if (isRefused) {
      output.push(encodeError("FATAL", "53300", "sorry, too many clients already"));
      await output.send();
      socket.end();
      return;
    }
    output.push(encodeAuthenticationOk());
    for (const [name, value] of Object.entries(startupParameters)) {
      output.push(encodeParameterStatus(name, value));
    }
    output.push(encodeKeyData(id));
    output.push(encodeReady("I"));
    await output.send();
  }
}

/**
 * Splits the client's bytes into messages once the start-up is done. `pg-gateway` 0.2.4 is used for
 * the start-up only: it splits every message but the first of a chunk at a wrong offset, so that
 * pipelined messages come out empty.
 */
function relayMessages(socket: Socket, session: Session): void {
  const frames = new FrameSplitter();
  socket.on("data", (chunk: Buffer) => {
    try {
      for (const message of frames.push(chunk)) session.enqueue(message);
    } catch {
      socket.destroy();
    }
  });
}

function findChannel(faults: Faults, database: string): Channel {
  if (database === controlDatabase) return faults.control;
  return database === replicationDatabase ? faults.replication : faults.statements;
}

function readDatabaseName(parameters: Readonly<Record<string, string>> | undefined): string {
  return parameters?.database ?? "";
}
