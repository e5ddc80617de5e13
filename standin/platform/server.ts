import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { Address, Group, Json, Vm } from "../../src/model/index.js";
import { PlatformFaults } from "./faults.js";
import { LaggingList } from "./list.js";
import { VersionedObjects, type UpdateResult } from "./objects.js";

/** The listening address of the stand-in platform. */
export interface StandinPlatformOptions {
  /** Default 127.0.0.1. */
  readonly host?: string;
  /** Default 0, which selects a free port. A restart keeps the port. */
  readonly port?: number;
}

/** The number of requests of each type. A long-polling watch counts as one. */
export interface CallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
}

interface Reply {
  readonly status: number;
  readonly body: unknown;
  readonly isWrite?: boolean;
}

type Handler = (request: IncomingMessage, url: URL) => Promise<Reply>;

const maxWaitMs = 60_000;

/** An in-process stand-in for the platform's object API, with JSON over HTTP. */
export class StandinPlatform {
  readonly objects = new VersionedObjects();
  readonly faults = new PlatformFaults();
  private readonly vms = new LaggingList();
  private groups: readonly Group[] = [];
  private counts: CallCounts = { reads: 0, writes: 0, watches: 0 };
  private readonly sockets = new Set<Socket>();
  private readonly watches = new Set<() => void>();
  private server: Server | undefined;
  private listenAddress: Address;

  constructor(options: StandinPlatformOptions = {}) {
    this.listenAddress = { host: options.host ?? "127.0.0.1", port: options.port ?? 0 };
  }

  get address(): Address {
    return this.listenAddress;
  }

  /** The base URL for `HttpObjectStore`. */
  get url(): string {
    return `http://${this.listenAddress.host}:${this.listenAddress.port}`;
  }

  get calls(): CallCounts {
    return this.counts;
  }

  setVms(vms: readonly Vm[]): void {
    this.vms.set(vms);
  }

  setGroups(groups: readonly Group[]): void {
    this.groups = groups;
  }

  /** Closes the connection of every waiting watch without a response. */
  dropWatches(): void {
    for (const drop of [...this.watches]) drop();
  }

  /** With true, closes all connections and refuses new ones until it is called with false. */
  setDown(isDown: boolean): void {
    this.faults.isDown = isDown;
    if (isDown) for (const socket of this.sockets) socket.destroy();
  }

  async start(): Promise<void> {
    const server = createServer((request, response) => void this.handle(request, response));
    server.on("connection", (socket: Socket) => this.acceptConnection(socket));
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.listenAddress.port, this.listenAddress.host, resolve);
    });
    const boundAddress = server.address();
    if (boundAddress !== null && typeof boundAddress === "object") {
      this.listenAddress = { host: this.listenAddress.host, port: boundAddress.port };
    }
    this.server = server;
  }

  async dispose(): Promise<void> {
    const { server } = this;
    this.server = undefined;
    for (const socket of this.sockets) socket.destroy();
    if (server !== undefined) await new Promise((resolve) => server.close(resolve));
  }

  private acceptConnection(socket: Socket): void {
    if (this.faults.isDown) {
      socket.destroy();
      return;
    }
    this.sockets.add(socket);
    socket.on("close", () => this.sockets.delete(socket));
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const reply = await this.handleRequest(request);
      if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
      // The write has taken effect; a client without a response must read the object to learn that.
      if (reply.isWrite === true && this.faults.consumeLostAnswer()) response.destroy();
      else sendReply(response, reply);
    } catch (error) {
      if (error instanceof DroppedWatch) response.destroy();
      else sendReply(response, { status: 400, body: { reason: String(error) } });
    }
  }

  private handleRequest(request: IncomingMessage): Promise<Reply> {
    const url = new URL(request.url ?? "/", this.url);
    const [, resource = ""] = url.pathname.split("/");
    const handlers: Readonly<Record<string, Handler>> = {
      objects: (r, u) => this.handleObject(r, u),
      watch: (r, u) => this.handleWatch(r, u),
      vms: (r) => this.handleVms(r),
      groups: (r) => this.handleGroups(r),
      calls: () => Promise.resolve({ status: 200, body: this.counts }),
      faults: (r) => this.handleFaults(r),
    };
    const handler = handlers[resource];
    if (handler === undefined) return Promise.resolve({ status: 404, body: {} });
    return handler(request, url);
  }

  private async handleObject(request: IncomingMessage, url: URL): Promise<Reply> {
    const [kind = "", name] = url.pathname.split("/").slice(2).map(decodeURIComponent);
    if (name === undefined) {
      this.count("reads");
      return { status: 200, body: { objects: this.objects.list(kind) } };
    }
    if (request.method === "GET") {
      this.count("reads");
      const object = this.objects.get(kind, name);
      return object === undefined ? { status: 404, body: {} } : { status: 200, body: object };
    }
    this.count("writes");
    const version = Number(url.searchParams.get("version"));
    if (request.method === "DELETE") return toReply(this.objects.remove(kind, name, version));
    const value = (await readJson(request)) as Json;
    return toReply(this.objects.put(kind, name, value, version));
  }

  private async handleWatch(request: IncomingMessage, url: URL): Promise<Reply> {
    this.count("watches");
    const kind = decodeURIComponent(url.pathname.split("/")[2] ?? "");
    const after = Number(url.searchParams.get("after"));
    const waitMs = Math.min(Number(url.searchParams.get("waitMs")), maxWaitMs);
    const list = () => this.objects.listChanges(kind, after);
    if (list().length === 0) await this.waitForChange(request, () => list().length > 0, waitMs);
    return { status: 200, body: { changes: list(), version: this.objects.version } };
  }

  private waitForChange(
    request: IncomingMessage,
    hasChanges: () => boolean,
    waitMs: number,
  ): Promise<void> {
    return new Promise((resolve, reject) => {
      const end = () => {
        clearTimeout(timer);
        unsubscribe();
        this.watches.delete(drop);
        // A kept-alive connection serves more requests, each with its own listener.
        request.socket.off("close", drop);
        resolve();
      };
      const drop = () => {
        reject(new DroppedWatch());
        end();
      };
      const timer = setTimeout(end, waitMs);
      const unsubscribe = this.objects.subscribe(() => {
        if (hasChanges()) end();
      });
      this.watches.add(drop);
      request.socket.once("close", drop);
    });
  }

  private async handleVms(request: IncomingMessage): Promise<Reply> {
    if (request.method === "PUT") this.setVms((await readJson(request)) as readonly Vm[]);
    else this.count("reads");
    return { status: 200, body: { vms: this.vms.get(this.faults.listLagMs) } };
  }

  private async handleGroups(request: IncomingMessage): Promise<Reply> {
    if (request.method === "PUT") this.setGroups((await readJson(request)) as readonly Group[]);
    else this.count("reads");
    return { status: 200, body: { groups: this.groups } };
  }

  /** Handles `PUT /faults` with any of `slowMs`, `listLagMs`, `loseWriteAnswers`, `dropWatches`, `downMs`. */
  private async handleFaults(request: IncomingMessage): Promise<Reply> {
    const requested = (await readJson(request)) as Readonly<Record<string, number | undefined>>;
    this.faults.slowMs = requested.slowMs ?? this.faults.slowMs;
    this.faults.listLagMs = requested.listLagMs ?? this.faults.listLagMs;
    this.faults.loseWriteAnswers(requested.loseWriteAnswers ?? 0);
    if (requested.dropWatches !== undefined) this.dropWatches();
    if (requested.downMs !== undefined) {
      setImmediate(() => this.setDown(true));
      setTimeout(() => this.setDown(false), requested.downMs);
    }
    return { status: 200, body: {} };
  }

  private count(type: keyof CallCounts): void {
    this.counts = { ...this.counts, [type]: this.counts[type] + 1 };
  }
}

class DroppedWatch extends Error {}

function toReply(update: UpdateResult): Reply {
  if (update.type === "conflict") return { status: 409, body: {} };
  return { status: 200, body: update.object, isWrite: true };
}

function sendReply(response: ServerResponse, { status, body }: Reply): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return JSON.parse(Buffer.concat(parts).toString("utf8")) as unknown;
}
