import { Pool } from "undici";
import type { ZodType } from "zod";
import { targetEvents } from "../log/events/target.js";
import { silentLogger, type Logger } from "../log/index.js";
import type {
  Disposable,
  Group,
  Json,
  ObjectStore,
  StoreChange,
  StoredObject,
  StoreRead,
  StoreWrite,
  Vm,
} from "../model/index.js";
import { sendCall, type Call, type CallResult } from "./call.js";
import { changeList, groupList, objectList, storedObject, vmList } from "./wire.js";

/** How the platform's service is reached. */
export interface HttpObjectStoreOptions {
  /** Origin of the service, such as `http://10.0.0.1:8080`. */
  readonly url: string;
  /** Longest time for one call, in milliseconds. Default 2000. */
  readonly timeoutMs?: number;
  /** How long one watch call waits for changes, in milliseconds. Default 30000. */
  readonly watchWaitMs?: number;
  /** Connections to the service. Default 4; waiting watches have further ones. */
  readonly connections?: number;
  readonly logger?: Logger;
}

const ok = 200;
const notFound = 404;
const conflict = 409;
const maxWatches = 64;

/** The platform's object API over HTTP and JSON. */
export class HttpObjectStore implements ObjectStore, Disposable {
  private readonly calls: Pool;
  private readonly watches: Pool;
  private readonly timeoutMs: number;
  private readonly watchWaitMs: number;
  private readonly logger: Logger;

  constructor({ url, timeoutMs, watchWaitMs, connections, logger }: HttpObjectStoreOptions) {
    this.timeoutMs = timeoutMs ?? 2_000;
    this.watchWaitMs = watchWaitMs ?? 30_000;
    this.logger = logger ?? silentLogger;
    // Watches have connections of their own: calls would queue behind those that wait.
    this.calls = new Pool(url, { connections: connections ?? 4, pipelining: 1 });
    this.watches = new Pool(url, { connections: maxWatches, pipelining: 1, headersTimeout: 0 });
  }

  get(kind: string, name: string): Promise<StoreRead<StoredObject>> {
    return this.read(makePath(kind, name), storedObject, (object) => object);
  }

  list(kind: string): Promise<StoreRead<readonly StoredObject[]>> {
    return this.read(makePath(kind), objectList, ({ objects }) => objects);
  }

  put(kind: string, name: string, value: Json, version: number): Promise<StoreWrite> {
    const path = `${makePath(kind, name)}?version=${version}`;
    return this.write({ method: "PUT", path, body: JSON.stringify(value), ...this.limits });
  }

  remove(kind: string, name: string, version: number): Promise<StoreWrite> {
    const path = `${makePath(kind, name)}?version=${version}`;
    return this.write({ method: "DELETE", path, ...this.limits });
  }

  async watch(
    kind: string,
    afterVersion: number,
    handle: (change: StoreChange) => void,
    signal: AbortSignal,
  ): Promise<void> {
    let after = afterVersion;
    while (!isAborted(signal)) {
      const result = await this.waitChanges(kind, after, signal);
      if (isAborted(signal)) return;
      if (result.type !== "found") {
        this.logger.write(targetEvents.watchBroken, { kind, after });
        handle({ type: "broken", reason: result.type === "absent" ? "absent" : result.reason });
        return;
      }
      for (const change of result.value.changes) handle(change);
      after = Math.max(after, result.value.version);
    }
  }

  listVms(): Promise<StoreRead<readonly Vm[]>> {
    return this.read("/vms", vmList, ({ vms }) => vms);
  }

  listGroups(): Promise<StoreRead<readonly Group[]>> {
    return this.read("/groups", groupList, ({ groups }) => groups);
  }

  async dispose(): Promise<void> {
    await Promise.all([this.calls.destroy(), this.watches.destroy()]);
  }

  private get limits(): { readonly timeoutMs: number } {
    return { timeoutMs: this.timeoutMs };
  }

  private async read<T, R>(
    path: string,
    shape: ZodType<T>,
    pick: (body: T) => R,
  ): Promise<StoreRead<R>> {
    const result = await sendCall(this.calls, { method: "GET", path, ...this.limits });
    return mapRead(this.parse(path, result, shape), pick);
  }

  private async waitChanges(kind: string, after: number, signal: AbortSignal) {
    const path = `/watch/${encodeURIComponent(kind)}?after=${after}&waitMs=${this.watchWaitMs}`;
    const timeoutMs = this.watchWaitMs + this.timeoutMs;
    const result = await sendCall(this.watches, { method: "GET", path, timeoutMs, signal });
    return this.parse(path, result, changeList);
  }

  private async write(call: Call): Promise<StoreWrite> {
    const result = await sendCall(this.calls, call);
    if (result.type === "notSent") return this.noteUnavailable(call.path, result.reason);
    if (result.type === "lost") return this.noteLost(call.path, result.reason);
    if (result.status === conflict) return { type: "conflict" };
    if (result.status >= 500) return this.noteLost(call.path, `status ${result.status}`);
    const parsed = storedObject.safeParse(result.body);
    if (result.status === ok && parsed.success) return { type: "written", object: parsed.data };
    return this.noteUnavailable(call.path, `status ${result.status}`);
  }

  private parse<T>(path: string, result: CallResult, shape: ZodType<T>): StoreRead<T> {
    if (result.type !== "answered") return this.noteUnavailable(path, result.reason);
    if (result.status === notFound) return { type: "absent" };
    const parsed = shape.safeParse(result.body);
    if (result.status === ok && parsed.success) return { type: "found", value: parsed.data };
    return this.noteUnavailable(path, `status ${result.status}, or an answer of another shape`);
  }

  private noteUnavailable(path: string, reason: string) {
    this.logger.write(targetEvents.storeUnavailable, { path, reason });
    return { type: "unavailable", reason } as const;
  }

  private noteLost(path: string, reason: string) {
    this.logger.write(targetEvents.storeAnswerLost, { path, reason });
    return { type: "unknown", reason } as const;
  }
}

function makePath(...parts: readonly string[]): string {
  return `/objects/${parts.map(encodeURIComponent).join("/")}`;
}

function mapRead<T, R>(read: StoreRead<T>, pick: (value: T) => R): StoreRead<R> {
  return read.type === "found" ? { type: "found", value: pick(read.value) } : read;
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
