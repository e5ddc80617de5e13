import pg from "pg";
import type { Address } from "../model/index.js";
import { classifySqlState, type AttemptOutcome } from "./outcome.js";

/** Who a session is and where it may connect. */
export interface LoadSessionOptions {
  readonly name: string;
  readonly team: string;
  readonly group: string;
  readonly entries: readonly Address[];
  /** Requests between two moves to the next entry; 0 for none. */
  readonly roamEvery: number;
  readonly timeoutMs: number;
  /** Certificate of the authority that signed the entries' certificates. */
  readonly ca?: string;
}

const tokenParameter = "radishwalk.session";

/** One caller's session: a connection at a time, and a token that it carries from entry to entry. */
export class LoadSession {
  private client: pg.Client | undefined;
  private token: string | undefined;
  private requests = 0;
  private entry: number;

  constructor(
    readonly options: LoadSessionOptions,
    place: number,
  ) {
    this.entry = place % options.entries.length;
  }

  /** Sends one statement and waits for its answer. Never rejects. */
  async runStatement(text: string): Promise<AttemptOutcome> {
    this.countRequest();
    let client: pg.Client;
    try {
      client = this.client ?? (await this.connect());
    } catch (error) {
      return { type: "notRun", errorCode: `connect ${readState(error) ?? "failed"}` };
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
      const state = readState(error);
      if (state === undefined) this.drop(client);
      return { type: classifySqlState(state), errorCode: state ?? "connection lost" };
    }
  }

  private countRequest(): void {
    const { roamEvery } = this.options;
    this.requests += 1;
    if (roamEvery > 0 && this.requests % roamEvery === 0) this.takeNextEntry();
  }

  private takeNextEntry(): void {
    this.entry = (this.entry + 1) % this.options.entries.length;
    void this.close();
  }

  private async connect(): Promise<pg.Client> {
    const { team, group, timeoutMs, ca } = this.options;
    const address = this.options.entries[this.entry];
    const client = new pg.Client({
      ...address,
      user: team,
      database: group,
      connectionTimeoutMillis: timeoutMs,
      query_timeout: timeoutMs,
      ...(this.token === undefined ? {} : { options: `-c ${tokenParameter}=${this.token}` }),
      ...(ca === undefined ? {} : { ssl: { ca } }),
    });
    client.on("error", () => this.drop(client));
    client.on("end", () => this.drop(client));
    client.connection.on("parameterStatus", (status: ParameterStatus) => {
      if (status.parameterName === tokenParameter) this.token = status.parameterValue;
    });
    try {
      await client.connect();
    } catch (error) {
      // The next attempt goes elsewhere: an entry that refuses or is gone may stay so.
      this.takeNextEntry();
      throw error;
    }
    this.client = client;
    return client;
  }

  /** A connection that broke is given up; the session goes on at the next entry. */
  private drop(client: pg.Client): void {
    if (this.client !== client) return;
    this.takeNextEntry();
    client.connection.stream.destroy();
  }
}

interface ParameterStatus {
  readonly parameterName: string;
  readonly parameterValue: string;
}

function readState(error: unknown): string | undefined {
  return error instanceof pg.DatabaseError ? error.code : undefined;
}
