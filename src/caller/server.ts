import { randomUUID } from "node:crypto";
import { createServer, type Server, type Socket } from "node:net";
import type { SecureContext } from "node:tls";
import { callerEvents } from "../log/events/caller.js";
import { type Logger, silentLogger } from "../log/index.js";
import type { Address, Disposable, GroupGateway, Random } from "../model/index.js";
import { applyStep, createSession, type Session, type TokenKey } from "../session/index.js";
import { buildRequestChain, type ChainOptions } from "./chain.js";
import { CallerConnection, type ConnectionHost, type StartupResult } from "./connection.js";
import { encodeError, sqlStates } from "./errors.js";
import { type CallerLimits, defaultCallerLimits } from "./limits.js";
import { createTokenStep } from "./local.js";
import type { RunnerOptions } from "./runner.js";
import { StallExcludingClock } from "./stall-excluding-clock.js";
import {
  type BackendKey,
  generateBackendKey,
  type StartupRequest,
  isCallerError,
  parseStartupParameters,
} from "./startup.js";

/** The settings and dependencies of a `CallerServer`. */
export interface CallerServerOptions extends Omit<ChainOptions, "random" | "logger"> {
  /** Port 0 selects a free port. */
  readonly address: Address;
  readonly gateway: GroupGateway;
  /** Whether a group of this name exists; callers that ask for another are refused. */
  readonly hasGroup: (name: string) => boolean;
  /** The first key signs session tokens, every key verifies them. */
  readonly tokenKeys: () => readonly TokenKey[];
  /** `Math.random` if absent. */
  readonly random?: Random;
  readonly logger?: Logger;
  readonly limits?: Partial<CallerLimits>;
  /** Provides the certificate of new connections. If absent, callers are served in plain text. */
  readonly getSecureContext?: () => SecureContext;
  /** The server version reported to callers; drivers adapt to it. */
  readonly serverVersion?: string;
  readonly createId?: () => string;
}

const defaultServerVersion = "16.4";
const timeoutCheckIntervalMs = 200;
const maxOpenRefusedSockets = 100;
const drainPollIntervalMs = 20;

/** Serves callers over the PostgreSQL protocol. `loadParser` must have resolved. */
export class CallerServer implements Disposable, ConnectionHost {
  readonly limits: CallerLimits;
  readonly clock: StallExcludingClock;
  readonly logger: Logger;
  readonly runner: RunnerOptions;
  readonly serverVersion: string;
  declare readonly getSecureContext?: () => SecureContext;
  private readonly server: Server;
  private readonly connections = new Set<CallerConnection>();
  private readonly sessions = new Map<CallerConnection, { team: string; key: BackendKey }>();
  private readonly connectionsByProcessId = new Map<number, CallerConnection>();
  private readonly connectionsPerTeam = new Map<string, number>();
  private readonly disposeController = new AbortController();
  private inputBytes = 0;
  private openRefusedSockets = 0;
  private isDraining = false;

  constructor(private readonly options: CallerServerOptions) {
    const { clock, logger = silentLogger, gateway, tokenKeys, createId = randomUUID } = options;
    this.limits = { ...defaultCallerLimits, ...options.limits };
    this.clock = new StallExcludingClock(clock);
    this.logger = logger;
    this.serverVersion = options.serverVersion ?? defaultServerVersion;
    if (options.getSecureContext !== undefined) this.getSecureContext = options.getSecureContext;
    const { random = { draw: Math.random } } = options;
    const chain = buildRequestChain({ ...options, random, logger });
    this.runner = { chain, gateway, limits: this.limits, tokenKeys, createId, logger };
    this.server = createServer({ noDelay: true, keepAlive: true }, (socket) =>
      this.acceptSocket(socket),
    );
  }

  /** The number of open connections. */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Starts to accept callers and returns the bound address. Rejects if the port is taken. */
  async listen(): Promise<Address> {
    const { host, port } = this.options.address;
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, resolve);
    });
    const bound = this.server.address();
    const address = { host, port: typeof bound === "object" ? (bound?.port ?? port) : port };
    this.logger.write(callerEvents.listening, address);
    void this.runTimeoutChecks();
    return address;
  }

  /**
   * Stops accepting callers, closes idle connections and lets the others finish their requests and
   * transactions. Resolves once all are closed or `drainMs` has passed, with the number of
   * connections that were then cut off.
   */
  async drain(): Promise<{ readonly cutOff: number }> {
    this.isDraining = true;
    this.logger.write(callerEvents.draining, { connections: this.connections.size });
    if (this.server.listening) this.server.close();
    for (const connection of this.connections) connection.drain();
    const { clock } = this.options;
    const endAt = clock.now() + this.limits.drainMs;
    while (this.connections.size > 0 && clock.now() < endAt) await clock.sleep(drainPollIntervalMs);
    const cutOff = this.connections.size;
    for (const connection of this.connections) connection.destroy();
    this.logger.write(callerEvents.drained, { cutOff });
    return { cutOff };
  }

  /** Closes the server and all connections at once. */
  dispose(): void {
    this.disposeController.abort();
    if (this.server.listening) this.server.close();
    for (const connection of this.connections) connection.destroy();
  }

  startSession(
    connection: CallerConnection,
    parameters: Readonly<Record<string, string>>,
    isSecure: boolean,
  ): StartupResult {
    const startup = parseStartupParameters(parameters);
    if (isCallerError(startup)) return { type: "refused", error: startup };
    const session = this.openSession(startup, isSecure);
    if (session.type === "refused") return session;
    const key = this.register(connection, startup.team);
    return { ...session, applicationName: startup.applicationName, key };
  }

  cancel(processId: number, secret: number): void {
    const connection = this.connectionsByProcessId.get(processId);
    if (connection === undefined || this.sessions.get(connection)?.key.secret !== secret) return;
    connection.cancel();
  }

  countInputBytes(bytes: number): boolean {
    this.inputBytes += bytes;
    return this.inputBytes <= this.limits.maxInputBytes;
  }

  remove(connection: CallerConnection): void {
    this.connections.delete(connection);
    const session = this.sessions.get(connection);
    if (session === undefined) return;
    this.sessions.delete(connection);
    this.adjustTeamCount(session.team, -1);
    this.connectionsByProcessId.delete(session.key.processId);
    this.logger.write(callerEvents.closed, { team: session.team });
  }

  private acceptSocket(socket: Socket): void {
    if (this.connections.size < this.limits.maxConnections) {
      const connection = new CallerConnection(socket, this);
      this.connections.add(connection);
      if (this.isDraining) connection.drain();
      return;
    }
    this.refuseSocket(socket);
  }

  /** Sends the error and closes the socket. A limit bounds the sockets that callers keep open. */
  private refuseSocket(socket: Socket): void {
    const { tooManyConnections: code } = sqlStates;
    const error = {
      severity: "FATAL",
      code,
      message: "the proxy has too many connections",
    } as const;
    this.logger.write(callerEvents.refused, error);
    socket.on("error", () => socket.destroy());
    if (this.openRefusedSockets >= maxOpenRefusedSockets) {
      socket.destroy();
      return;
    }
    this.openRefusedSockets += 1;
    socket.on("close", () => (this.openRefusedSockets -= 1));
    socket.setTimeout(this.limits.startupMs, () => socket.destroy());
    socket.resume();
    socket.end(encodeError(error));
  }

  private openSession(
    { team: name, group, kind, token }: StartupRequest,
    isSecure: boolean,
  ):
    | Extract<StartupResult, { type: "refused" }>
    | { readonly type: "accepted"; readonly session: Session } {
    const { hasGroup, findTeam, getSecureContext } = this.options;
    if (this.isDraining)
      return createRefusal(sqlStates.adminShutdown, "the proxy is shutting down");
    if (getSecureContext !== undefined && !isSecure) {
      return createRefusal(sqlStates.invalidAuthorization, "the proxy wants TLS");
    }
    const team = findTeam(name);
    if (team === undefined) {
      return createRefusal(sqlStates.invalidAuthorization, `team "${name}" is not configured`);
    }
    if (!hasGroup(group)) {
      return createRefusal(sqlStates.undefinedDatabase, `database group "${group}" does not exist`);
    }
    if ((this.connectionsPerTeam.get(name) ?? 0) >= this.limits.maxConnectionsPerTeam) {
      return createRefusal(sqlStates.tooManyConnections, `team "${name}" has too many connections`);
    }
    const session = this.applyToken({ ...createSession(team, group), kind }, token);
    return { type: "accepted", session };
  }

  private applyToken(session: Session, token: string | undefined): Session {
    if (token === undefined) return session;
    const joined = applyStep(session, createTokenStep(token, this.options.tokenKeys()));
    if (joined.type === "applied" && joined.state.isComplete) return joined.state;
    this.logger.write(callerEvents.tokenRejected, { team: session.team.name });
    return joined.type === "applied" ? joined.state : { ...session, isComplete: false };
  }

  private register(connection: CallerConnection, team: string): BackendKey {
    let key = generateBackendKey();
    while (this.connectionsByProcessId.has(key.processId)) key = generateBackendKey();
    this.connectionsByProcessId.set(key.processId, connection);
    this.sessions.set(connection, { team, key });
    this.adjustTeamCount(team, 1);
    return key;
  }

  private adjustTeamCount(team: string, change: number): void {
    const count = (this.connectionsPerTeam.get(team) ?? 0) + change;
    if (count === 0) this.connectionsPerTeam.delete(team);
    else this.connectionsPerTeam.set(team, count);
  }

  /** Checks the time limits of all connections with one timer, so that none needs its own. */
  private async runTimeoutChecks(): Promise<void> {
    while (!this.disposeController.signal.aborted) {
      this.clock.detectStall();
      for (const connection of this.connections) connection.checkTimeouts();
      await this.options.clock
        .sleep(timeoutCheckIntervalMs, this.disposeController.signal)
        .catch(() => undefined);
    }
  }
}

function createRefusal(code: string, message: string): Extract<StartupResult, { type: "refused" }> {
  return { type: "refused", error: { severity: "FATAL", code, message } };
}
