import { connect, type Socket } from "node:net";
import { serialize } from "pg-protocol";
import { targetEvents } from "../log/events/target.js";
import { silentLogger, type Logger } from "../log/index.js";
import type { Target, TargetConnector, TargetSession } from "../model/index.js";
import { FrameSplitter } from "./frames.js";
import { PgTargetSession } from "./session.js";

/** Options of a `PgTargetConnector`. */
export interface ConnectorOptions {
  /** The user named in the start-up message. Default `radishwalk`. */
  readonly user?: string;
  /**
   * Maximum time without data from the target during an exchange, in milliseconds. Default 0: no limit, only
   * the caller's signal ends an exchange.
   */
  readonly progressTimeoutMs?: number;
  readonly logger?: Logger;
}

/** A connection could not be opened; `sqlState` is the target's SQLSTATE, if it sent one. */
export class OpenError extends Error {
  override readonly name = "OpenError";

  constructor(
    message: string,
    readonly sqlState?: string,
  ) {
    super(message);
  }
}

const authenticationCode = 0x52;
const errorResponseCode = 0x45;
const readyForQueryCode = 0x5a;
const headerBytes = 5;

/** Opens connections in the PostgreSQL protocol, without encryption or a password. */
export class PgTargetConnector implements TargetConnector {
  constructor(private readonly options: ConnectorOptions = {}) {}

  async open(target: Target, database: string, timeoutMs: number): Promise<TargetSession> {
    const { host, port } = target.address;
    const { logger = silentLogger, progressTimeoutMs = 0 } = this.options;
    const fields = { target: target.name, database };
    const socket = connect({ host, port, noDelay: true, keepAlive: true });
    try {
      await this.startUp(socket, database, timeoutMs);
    } catch (error) {
      socket.destroy();
      logger.write(targetEvents.connectionFailed, { ...fields, reason: String(error) });
      throw error;
    }
    logger.write(targetEvents.connectionOpened, fields);
    return new PgTargetSession(target.name, socket, progressTimeoutMs, logger);
  }

  private startUp(socket: Socket, database: string, timeoutMs: number): Promise<void> {
    const user = this.options.user ?? "radishwalk";
    const frames = new FrameSplitter();
    return new Promise((resolve, reject) => {
      const end = (error?: Error) => {
        clearTimeout(timer);
        socket.removeAllListeners();
        socket.on("error", () => undefined);
        if (error === undefined) resolve();
        else reject(error);
      };
      const timer = setTimeout(() => end(new OpenError("no answer in time")), timeoutMs);
      socket.on("error", (error) => end(new OpenError(error.message)));
      socket.on("close", () => end(new OpenError("the connection was closed during start-up")));
      socket.on("connect", () =>
        socket.write(serialize.startup({ user, database, client_encoding: "UTF8" })),
      );
      socket.on("data", (chunk: Buffer) => {
        const result = readStartUp(frames, chunk);
        if (result === "ready") end();
        else if (result !== "more") end(result);
      });
    });
  }
}

function readStartUp(frames: FrameSplitter, chunk: Buffer): "ready" | "more" | OpenError {
  for (const message of frames.push(chunk)) {
    if (message[0] === readyForQueryCode) return "ready";
    if (message[0] === errorResponseCode) return readError(message);
    if (message[0] === authenticationCode && message.readInt32BE(headerBytes) !== 0) {
      return new OpenError("the target requests an unsupported authentication method");
    }
  }
  return "more";
}

function readError(message: Buffer): OpenError {
  const fields = message.toString("utf8", headerBytes).split("\0");
  const find = (code: string) => fields.find((f) => f.startsWith(code))?.slice(1);
  return new OpenError(find("M") ?? "the target refused the connection", find("C"));
}
