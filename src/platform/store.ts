import type { ZodType } from "zod";
import { targetEvents } from "../log/events/target.js";
import type { Group, ObjectStore, StoreChange, StoreRead, Vm } from "../model/index.js";
import { sendCall } from "./call.js";
import { StoreClient, type StoreClientOptions } from "./client.js";
import { ownDialect } from "./dialect.js";
import { openCallPool, type CallPool } from "./pool.js";
import { changeList, groupList, vmList } from "./wire.js";

/** How the platform's service is reached. */
export interface HttpObjectStoreOptions extends StoreClientOptions {
  /** How long one watch call waits for changes, in milliseconds. Default 30000. */
  readonly watchWaitMs?: number;
}

const maxWatches = 64;

/** The platform's object API over HTTP and JSON, with watches by waiting calls. */
export class HttpObjectStore extends StoreClient implements ObjectStore {
  private readonly watches: CallPool;
  private readonly watchWaitMs: number;

  constructor(options: HttpObjectStoreOptions) {
    super(options, ownDialect);
    this.watchWaitMs = options.watchWaitMs ?? 30_000;
    // Watches have connections of their own: calls would queue behind those that wait.
    this.watches = openCallPool(options.url, maxWatches);
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
    return this.readPath("/vms", vmList, ({ vms }) => vms);
  }

  listGroups(): Promise<StoreRead<readonly Group[]>> {
    return this.readPath("/groups", groupList, ({ groups }) => groups);
  }

  override dispose(): void {
    super.dispose();
    this.watches.destroy();
  }

  private async readPath<T, R>(
    path: string,
    shape: ZodType<T>,
    pick: (body: T) => R,
  ): Promise<StoreRead<R>> {
    const result = await this.send({ method: "GET", path });
    const read = this.parse(path, result, (body) => shape.safeParse(body).data);
    return read.type === "found" ? { type: "found", value: pick(read.value) } : read;
  }

  private async waitChanges(kind: string, after: number, signal: AbortSignal) {
    const path = `/watch/${encodeURIComponent(kind)}?after=${after}&waitMs=${this.watchWaitMs}`;
    const timeoutMs = this.watchWaitMs + this.timeoutMs;
    const result = await sendCall(this.watches, { method: "GET", path, timeoutMs, signal });
    return this.parse(path, result, (body) => changeList.safeParse(body).data);
  }
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
