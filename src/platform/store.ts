import type { ZodType } from "zod";
import { targetEvents } from "../log/events/target.js";
import type { Group, ObjectStore, StoreChange, StoreRead, Vm } from "../model/index.js";
import { sendHttpCall } from "./call.js";
import { StoreClient, type StoreClientOptions } from "./client.js";
import { standinDialect } from "./dialect.js";
import { openHttpPool, type HttpPool } from "./pool.js";
import { changeListSchema, groupListSchema, vmListSchema } from "./schemas.js";

/** Options of an `HttpObjectStore`. */
export interface HttpObjectStoreOptions extends StoreClientOptions {
  /** How long the store may hold one long-polling request open, in milliseconds. Default 30000. */
  readonly watchWaitMs?: number;
}

const maxWatches = 64;

/** The stand-in platform's object API over HTTP and JSON, with watches by long polling. */
export class HttpObjectStore extends StoreClient implements ObjectStore {
  private readonly watchPool: HttpPool;
  private readonly watchWaitMs: number;

  constructor(options: HttpObjectStoreOptions) {
    super(options, standinDialect);
    this.watchWaitMs = options.watchWaitMs ?? 30_000;
    // Watches use separate connections: other requests would queue behind a pending long poll.
    this.watchPool = openHttpPool(options.url, maxWatches);
  }

  async watch(
    kind: string,
    afterVersion: number,
    handle: (change: StoreChange) => void,
    signal: AbortSignal,
  ): Promise<void> {
    let after = afterVersion;
    while (!isAborted(signal)) {
      const result = await this.requestChanges(kind, after, signal);
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
    return this.readPath("/vms", vmListSchema, ({ vms }) => vms);
  }

  listGroups(): Promise<StoreRead<readonly Group[]>> {
    return this.readPath("/groups", groupListSchema, ({ groups }) => groups);
  }

  override dispose(): void {
    super.dispose();
    this.watchPool.destroy();
  }

  private async readPath<T, R>(
    path: string,
    schema: ZodType<T>,
    select: (body: T) => R,
  ): Promise<StoreRead<R>> {
    const result = await this.send({ method: "GET", path });
    const read = this.parse(path, result, (body) => schema.safeParse(body).data);
    return read.type === "found" ? { type: "found", value: select(read.value) } : read;
  }

  private async requestChanges(kind: string, after: number, signal: AbortSignal) {
    const path = `/watch/${encodeURIComponent(kind)}?after=${after}&waitMs=${this.watchWaitMs}`;
    const timeoutMs = this.watchWaitMs + this.timeoutMs;
    const result = await sendHttpCall(this.watchPool, { method: "GET", path, timeoutMs, signal });
    return this.parse(path, result, (body) => changeListSchema.safeParse(body).data);
  }
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
