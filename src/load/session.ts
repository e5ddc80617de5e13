import pg from "pg";
import type { Address } from "../model/index.js";
import { classifySqlState, type AttemptOutcome } from "./outcome.js";

/** Options of a `LoadSession`. */
export interface LoadSessionOptions {
  readonly name: string;
  readonly team: string;
  readonly group: string;
  readonly entries: readonly Address[];
  /** Number of requests after which the session switches to the next entry; 0 for never. */
  readonly roamEvery: number;
  readonly timeoutMs: number;
  /** Certificate of the authority that signed the entries' certificates. */
  readonly ca?: string;
}

const tokenParameter = "radishwalk.session";

/** One caller's session: one connection at a time, and a session token that is kept when the entry changes. */
export class LoadSession {
  private client: pg.Client | undefined;
  private token: string | undefined;
  private requests = 0;
  private entryIndex: number;

  constructor(
    readonly options: LoadSessionOptions,
    firstEntry: number,
  ) {
    this.entryIndex = firstEntry % options.entries.length;
  }

  /** Sends one statement and waits for its result. Never rejects. */
  async runStatement(text: string): Promise<AttemptOutcome> {
    this.countRequest();
    let client: pg.Client;
    try {
      client = this.client ?? (await this.connect());
    } catch (error) {
      return { type: "notRun", errorCode: `connect ${getSqlState(error) ?? "failed"}` };
    }
    return this.send(client, text);
  }

  async close(): Promise<void> {
    const { client } = this;
    this.client = undefined;
    await client?.end().catch(() => undefined);
  }

  private async send(client: pg.Client, text: string): Promise<AttemptOutcome> {
    try {
      const { rows, rowCount } = await client.query<unknown[]>({ text, rowMode: "array" });
      return { type: "landed", rows, count: rowCount ?? 0 };
    } catch (error) {
      const sqlState = getSqlState(error);
      if (sqlState === undefined) this.abandon(client);
      return { type: classifySqlState(sqlState), errorCode: sqlState ?? "connection lost" };
    }
  }

  private countRequest(): void {
    const { roamEvery } = this.options;
    this.requests += 1;
    if (roamEvery > 0 && this.requests % roamEvery === 0) this.switchEntry();
  }

  private switchEntry(): void {
    this.entryIndex = (this.entryIndex + 1) % this.options.entries.length;
    void this.close();
  }

  private async connect(): Promise<pg.Client> {
    const { team, group, timeoutMs, ca } = this.options;
    const address = this.options.entries[this.entryIndex];
    const client = new pg.Client({
      ...address,
      user: team,
      database: group,
      connectionTimeoutMillis: timeoutMs,
      query_timeout: timeoutMs,
      ...(this.token === undefined ? {} : { options: `-c ${tokenParameter}=${this.token}` }),
      ...(ca === undefined ? {} : { ssl: { ca } }),
    });
    client.on("error", () => this.abandon(client));
    client.on("end", () => this.abandon(client));
    client.connection.on("parameterStatus", (status: ParameterStatus) => {
      if (status.parameterName === tokenParameter) this.token = status.parameterValue;
    });
    try {
      await client.connect();
    } catch (error) {
      // The next attempt uses another entry, since this one may stay unavailable.
      this.switchEntry();
      throw error;
    }
    this.client = client;
    return client;
  }

  /** Abandons a failed connection; the session continues at the next entry. */
  private abandon(client: pg.Client): void {
    if (this.client !== client) return;
    this.switchEntry();
    client.connection.stream.destroy();
  }
}

interface ParameterStatus {
  readonly parameterName: string;
  readonly parameterValue: string;
}

function getSqlState(error: unknown): string | undefined {
  return error instanceof pg.DatabaseError ? error.code : undefined;
}
