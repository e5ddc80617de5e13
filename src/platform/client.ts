import { targetEvents } from "../log/events/target.js";
import { silentLogger, type Logger } from "../log/index.js";
import type { Disposable, Json, StoredObject, StoreRead, StoreWrite } from "../model/index.js";
import { sendHttpCall, type HttpCall, type HttpCallResult } from "./call.js";
import { openHttpPool, type HttpPool } from "./pool.js";

/** Options of a `StoreClient`. */
export interface StoreClientOptions {
  /** Origin of the store, such as `http://10.0.0.1:8080`. */
  readonly url: string;
  /** Timeout of one request, in milliseconds. Default 2000. */
  readonly timeoutMs?: number;
  /** Maximum number of connections to the store. Default 4. */
  readonly connections?: number;
  readonly logger?: Logger;
}

/** One page of a listing. `next` is where the next page begins; undefined on the last page. */
export interface StorePage {
  readonly objects: readonly StoredObject[];
  /** The store's revision when it answered. */
  readonly revision: number;
  readonly next?: string;
}

/** All objects of a kind, with the store's revision when it answered the request for the first page. */
export interface StoreListing {
  readonly objects: readonly StoredObject[];
  readonly revision: number;
}

type StoreRequest = Pick<HttpCall, "method" | "path" | "body">;

/** How a platform's store formats its requests and answers. */
export interface StoreDialect {
  get(kind: string, name: string): StoreRequest;
  list(kind: string, after?: string): StoreRequest;
  /** Writes an object that still has the given version; version 0 means that it must not exist. */
  put(kind: string, name: string, value: Json, version: number): StoreRequest;
  remove(kind: string, name: string, version: number): StoreRequest;
  decodeObject(kind: string, body: unknown): StoredObject | undefined;
  decodePage(kind: string, body: unknown): StorePage | undefined;
  /** Whether a status means that a write was rejected without taking effect. */
  isWriteRejected(status: number): boolean;
}

const ok = 200;
const created = 201;
const notFound = 404;
const conflict = 409;
/** Bounds a listing when a faulty store always announces a further page. */
const maxPages = 64;

/** Client of a platform's object store. No promise rejects, and no request outlasts its timeout. */
export class StoreClient implements Disposable {
  protected readonly timeoutMs: number;
  protected readonly logger: Logger;
  private pool: HttpPool;
  private readonly connections: number;

  constructor(
    { url, timeoutMs, connections, logger }: StoreClientOptions,
    private readonly dialect: StoreDialect,
  ) {
    this.timeoutMs = timeoutMs ?? 2_000;
    this.logger = logger ?? silentLogger;
    this.connections = connections ?? 4;
    this.pool = openHttpPool(url, this.connections);
  }

  /** Sends further requests to another origin; pending ones finish on their present connections. */
  setUrl(url: string): void {
    const previous = this.pool;
    this.pool = openHttpPool(url, this.connections);
    previous.close();
  }

  async get(kind: string, name: string): Promise<StoreRead<StoredObject>> {
    const call = this.dialect.get(kind, name);
    const result = await this.send(call);
    return this.parse(call.path, result, (body) => this.dialect.decodeObject(kind, body));
  }

  async list(kind: string): Promise<StoreRead<readonly StoredObject[]>> {
    const read = await this.listWithRevision(kind);
    return read.type === "found" ? { type: "found", value: read.value.objects } : read;
  }

  /** Lists all objects of a kind, over all pages, with the store's revision. */
  async listWithRevision(kind: string): Promise<StoreRead<StoreListing>> {
    const objects: StoredObject[] = [];
    let revision: number | undefined;
    let after: string | undefined;
    for (let pages = 0; pages < maxPages; pages += 1) {
      const call = this.dialect.list(kind, after);
      const read = this.parse(call.path, await this.send(call), (body) =>
        this.dialect.decodePage(kind, body),
      );
      if (read.type !== "found") return read;
      objects.push(...read.value.objects);
      revision ??= read.value.revision;
      after = read.value.next;
      if (after === undefined) return { type: "found", value: { objects, revision } };
    }
    return this.reportUnavailable(kind, `the listing has more than ${maxPages} pages`);
  }

  async put(kind: string, name: string, value: Json, version: number): Promise<StoreWrite> {
    return this.write(kind, this.dialect.put(kind, name, value, version));
  }

  async remove(kind: string, name: string, version: number): Promise<StoreWrite> {
    return this.write(kind, this.dialect.remove(kind, name, version));
  }

  dispose(): void {
    this.pool.destroy();
  }

  protected send(call: StoreRequest): Promise<HttpCallResult> {
    return sendHttpCall(this.pool, { ...call, timeoutMs: this.timeoutMs });
  }

  /** Decodes an answer. One that can't be decoded counts as `unavailable`. */
  protected parse<T>(
    path: string,
    result: HttpCallResult,
    decode: (body: unknown) => T | undefined,
  ): StoreRead<T> {
    if (result.type !== "answered") return this.reportUnavailable(path, result.reason);
    if (result.status === notFound) return { type: "absent" };
    const value = result.status === ok ? decode(result.body) : undefined;
    if (value !== undefined) return { type: "found", value };
    return this.reportUnavailable(path, `unexpected status ${result.status} or response body`);
  }

  private async write(kind: string, call: StoreRequest): Promise<StoreWrite> {
    const result = await this.send(call);
    if (result.type === "notSent") return this.reportUnavailable(call.path, result.reason);
    if (result.type === "lost") return this.reportLostAnswer(call.path, result.reason);
    const { status } = result;
    if (status === conflict) return { type: "conflict" };
    const isDone = status === ok || status === created;
    const object = isDone ? this.dialect.decodeObject(kind, result.body) : undefined;
    if (object !== undefined) return { type: "written", object };
    if (this.dialect.isWriteRejected(status) || !(isDone || status >= 500)) {
      return this.reportUnavailable(call.path, `status ${status}`);
    }
    return this.reportLostAnswer(call.path, `status ${status}`);
  }

  private reportUnavailable(path: string, reason: string) {
    this.logger.write(targetEvents.storeUnavailable, { path, reason });
    return { type: "unavailable", reason } as const;
  }

  private reportLostAnswer(path: string, reason: string) {
    this.logger.write(targetEvents.storeAnswerLost, { path, reason });
    return { type: "unknown", reason } as const;
  }
}
