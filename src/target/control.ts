import pg from "pg";
import { targetEvents } from "../log/events/target.js";
import { silentLogger, type Logger } from "../log/index.js";
import {
  formatMark,
  formatTerm,
  type ControlResult,
  type Disposable,
  type Mark,
  type Target,
  type TargetControl,
  type TargetStatus,
  type Term,
} from "../model/index.js";

/** How control connections are opened. */
export interface ControlOptions {
  /** Default `radishwalk`. */
  readonly user?: string;
  /** The database of control connections. Default `standin_control`. */
  readonly database?: string;
  readonly logger?: Logger;
}

interface ControlConnection {
  readonly client: pg.Client;
  readonly ready: Promise<unknown>;
  isBusy: boolean;
}

type ConnectionUse = "command" | "watch";

type Reply =
  | { readonly type: "accepted"; readonly status: TargetStatus }
  | { readonly type: "refused"; readonly fencedAt: Term };

/**
 * Control of targets over connections of its own. For each target one connection is kept for
 * commands and one for waiting status requests, so that a fence never queues behind a wait.
 */
export class PgTargetControl implements TargetControl, Disposable {
  private readonly connections = new Map<string, ControlConnection>();

  constructor(private readonly options: ControlOptions = {}) {}

  async status(
    target: Target,
    options: {
      readonly timeoutMs: number;
      readonly after?: { readonly mark: Mark; readonly fencedAt: Term };
      readonly waitMs?: number;
      readonly fresh?: boolean;
    },
  ): Promise<ControlResult> {
    const { after, waitMs = 0, timeoutMs, fresh = false } = options;
    const name = fresh ? undefined : after === undefined ? "command" : "watch";
    const values =
      after === undefined ? [] : [formatMark(after.mark), formatTerm(after.fencedAt), waitMs];
    return this.send(target, name, "status", values, timeoutMs);
  }

  fence(target: Target, term: Term, timeoutMs: number): Promise<ControlResult> {
    return this.send(target, "command", "fence", [formatTerm(term)], timeoutMs);
  }

  promote(target: Target, term: Term, timeoutMs: number): Promise<ControlResult> {
    return this.send(target, "command", "promote", [formatTerm(term)], timeoutMs);
  }

  follow(target: Target, primary: Target, term: Term, timeoutMs: number): Promise<ControlResult> {
    const { host, port } = primary.address;
    const values = [formatTerm(term), primary.name, host, port];
    return this.send(target, "command", "follow", values, timeoutMs);
  }

  dispose(): void {
    for (const key of [...this.connections.keys()]) this.remove(key);
  }

  private async send(
    target: Target,
    name: ConnectionUse | undefined,
    call: string,
    values: readonly (string | number)[],
    timeoutMs: number,
  ): Promise<ControlResult> {
    const { key, lane } = this.acquire(target, name);
    lane.isBusy = true;
    try {
      const reply = await withTimeout(this.query(lane, call, values), timeoutMs);
      if (key === undefined) destroyConnection(lane);
      lane.isBusy = false;
      return reply;
    } catch (error) {
      // A request that timed out may still be answered, and the connection may be silent for good.
      // The next request on it would then wait in vain, so it gets a new connection.
      if (key === undefined) destroyConnection(lane);
      else this.remove(key, lane);
      return this.reportUnreachable(target, call, String(error));
    }
  }

  private reportUnreachable(target: Target, call: string, reason: string): ControlResult {
    const { logger = silentLogger } = this.options;
    logger.write(targetEvents.unreachable, { target: target.name, call, reason });
    return { type: "unreachable", reason };
  }

  private async query(
    lane: ControlConnection,
    call: string,
    values: readonly (string | number)[],
  ): Promise<ControlResult> {
    await lane.ready;
    const places = values.map((_, i) => `$${i + 1}`).join();
    const text = `SELECT standin_${call}(${places})`;
    const { rows } = await lane.client.query<[string]>({
      text,
      values: [...values],
      rowMode: "array",
    });
    const answer = JSON.parse(rows[0]?.[0] ?? "null") as Reply | TargetStatus;
    return "type" in answer ? answer : { type: "accepted", status: answer };
  }

  /** A kept connection, or one for this call alone when none was asked for or it is busy. */
  private acquire(target: Target, name: ConnectionUse | undefined): { key?: string; lane: ControlConnection } {
    if (name === undefined) return { lane: this.connect(target) };
    const { host, port } = target.address;
    const key = `${name} ${host}:${port}`;
    const kept = this.connections.get(key);
    if (kept?.isBusy === true) return { lane: this.connect(target) };
    const lane = kept ?? this.connect(target);
    if (kept === undefined) {
      this.connections.set(key, lane);
      lane.client.on("end", () => this.remove(key, lane));
    }
    return { key, lane };
  }

  private connect(target: Target): ControlConnection {
    const client = new pg.Client({
      ...target.address,
      user: this.options.user ?? "radishwalk",
      database: this.options.database ?? "standin_control",
      keepAlive: true,
    });
    client.on("error", () => undefined);
    const ready = client.connect();
    ready.catch(() => undefined);
    return { client, ready, isBusy: false };
  }

  private remove(key: string, lane = this.connections.get(key)): void {
    if (lane === undefined) return;
    if (this.connections.get(key) === lane) this.connections.delete(key);
    destroyConnection(lane);
  }
}

/** Ends a connection without waiting for its far end, which may be silent. */
function destroyConnection({ client }: ControlConnection): void {
  client.end().catch(() => undefined);
  client.connection.stream.destroy();
}

async function withTimeout<T>(work: Promise<T>, ms: number): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(new Error("no answer in time")), ms);
  });
  work.catch(() => undefined);
  try {
    return await Promise.race([work, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
