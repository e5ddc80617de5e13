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

/** Options of a `PgTargetControl`. */
export interface ControlOptions {
  /** The user of control connections. Default `radishwalk`. */
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

/** The JSON value that a control function returns, other than a bare status. */
type Reply =
  | { readonly type: "accepted"; readonly status: TargetStatus }
  | { readonly type: "refused"; readonly fencedAt: Term };

/**
 * Controls targets over separate connections. For each target it keeps one connection for commands and one
 * for long-polling status requests, so that a fence never queues behind a pending poll.
 */
export class PgTargetControl implements TargetControl, Disposable {
  private readonly connections = new Map<string, ControlConnection>();

  constructor(private readonly options: ControlOptions = {}) {}

  async getStatus(
    target: Target,
    options: {
      readonly timeoutMs: number;
      readonly after?: { readonly mark: Mark; readonly fencedAt: Term };
      readonly waitMs?: number;
      readonly fresh?: boolean;
    },
  ): Promise<ControlResult> {
    const { after, waitMs = 0, timeoutMs, fresh = false } = options;
    const use = fresh ? undefined : after === undefined ? "command" : "watch";
    const values =
      after === undefined ? [] : [formatMark(after.mark), formatTerm(after.fencedAt), waitMs];
    return this.send(target, use, "status", values, timeoutMs);
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
    use: ConnectionUse | undefined,
    call: string,
    values: readonly (string | number)[],
    timeoutMs: number,
  ): Promise<ControlResult> {
    const { key, connection } = this.acquire(target, use);
    connection.isBusy = true;
    try {
      const reply = await withTimeout(this.callFunction(connection, call, values), timeoutMs);
      if (key === undefined) destroyConnection(connection);
      connection.isBusy = false;
      return reply;
    } catch (error) {
      // A request that timed out may still be answered, or the connection may be dead, and the next
      // request on it would never be answered. So the connection is closed and the next one is new.
      if (key === undefined) destroyConnection(connection);
      else this.remove(key, connection);
      return this.reportUnreachable(target, call, String(error));
    }
  }

  private reportUnreachable(target: Target, call: string, reason: string): ControlResult {
    const { logger = silentLogger } = this.options;
    logger.write(targetEvents.controlUnreachable, { target: target.name, call, reason });
    return { type: "unreachable", reason };
  }

  private async callFunction(
    connection: ControlConnection,
    call: string,
    values: readonly (string | number)[],
  ): Promise<ControlResult> {
    await connection.ready;
    const placeholders = values.map((_, i) => `$${i + 1}`).join();
    const text = `SELECT standin_${call}(${placeholders})`;
    const { rows } = await connection.client.query<[string]>({
      text,
      values: [...values],
      rowMode: "array",
    });
    const answer = JSON.parse(rows[0]?.[0] ?? "null") as Reply | TargetStatus;
    return "type" in answer ? answer : { type: "accepted", status: answer };
  }

  /**
   * Returns the kept connection for a use, with its key. Without a use, or while the kept one is busy, returns
   * a new connection without a key, which serves one request only.
   */
  private acquire(
    target: Target,
    use: ConnectionUse | undefined,
  ): { key?: string; connection: ControlConnection } {
    if (use === undefined) return { connection: this.connect(target) };
    const { host, port } = target.address;
    const key = `${use} ${host}:${port}`;
    const kept = this.connections.get(key);
    if (kept?.isBusy === true) return { connection: this.connect(target) };
    const connection = kept ?? this.connect(target);
    if (kept === undefined) {
      this.connections.set(key, connection);
      connection.client.on("end", () => this.remove(key, connection));
    }
    return { key, connection };
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

  private remove(key: string, connection = this.connections.get(key)): void {
    if (connection === undefined) return;
    if (this.connections.get(key) === connection) this.connections.delete(key);
    destroyConnection(connection);
  }
}

/** Closes a connection without waiting for the target, which may not respond. */
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
