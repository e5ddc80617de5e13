import { setTimeout as sleep } from "node:timers/promises";
import pg from "pg";
import type { Address } from "../../src/model/index.js";

/** What a caller learnt of one statement. A broken or silent connection says nothing. */
export type StatementOutcome =
  | { readonly type: "answered"; readonly tag: string; readonly rows: readonly Row[] }
  | { readonly type: "notRun"; readonly why: string }
  | { readonly type: "mayHaveRun"; readonly why: string }
  | { readonly type: "broken"; readonly why: string }
  | { readonly type: "failed"; readonly code: string; readonly why: string };

/** A row by its columns' names. */
export type Row = Readonly<Record<string, unknown>>;

/** A statement as the driver takes it; a named one is prepared. */
export interface Statement {
  readonly text: string;
  readonly values?: readonly unknown[];
  readonly name?: string;
}

/** Who calls, and with which session. */
export interface CallerOptions {
  readonly group: string;
  readonly team: string;
  readonly token?: string;
}

const patienceMs = 15_000;
const connectMs = 5_000;
const unknownOutcome = "08007";

/** One connection of an ordinary driver. */
export class Caller {
  private heardToken: string | undefined;
  private broken: string | undefined;

  private constructor(private readonly client: pg.Client) {
    client.on("error", (error) => (this.broken = String(error)));
    client.on("end", () => (this.broken ??= "ended"));
    this.followToken();
  }

  /** Connects; rejects when nobody answers. */
  static async connect(address: Address, options: CallerOptions): Promise<Caller> {
    const client = new pg.Client({
      ...address,
      database: options.group,
      user: options.team,
      connectionTimeoutMillis: connectMs,
      ...(options.token === undefined ? {} : { options: `-c radishwalk.session=${options.token}` }),
    });
    const caller = new Caller(client);
    await client.connect();
    return caller;
  }

  /** The session's latest token. */
  get token(): string | undefined {
    return this.heardToken;
  }

  get isUsable(): boolean {
    return this.broken === undefined;
  }

  /** Runs a statement; a caller whose patience ends goes away, knowing nothing. */
  async runStatement({ values, ...statement }: Statement): Promise<StatementOutcome> {
    if (this.broken !== undefined) return { type: "notRun", why: `never sent: ${this.broken}` };
    let timer: NodeJS.Timeout | undefined;
    const gaveUp = new Promise<StatementOutcome>((resolve) => {
      timer = setTimeout(() => {
        this.destroy();
        resolve({ type: "broken", why: `no answer within ${patienceMs} ms` });
      }, patienceMs);
    });
    const query = { ...statement, ...(values === undefined ? {} : { values: [...values] }) };
    const heard = this.client.query<Row>(query).then(
      (result): StatementOutcome => ({ type: "answered", tag: result.command, rows: result.rows }),
      (error: unknown) => classifyError(error),
    );
    try {
      return await Promise.race([heard, gaveUp]);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Ends the connection as drivers do. */
  async end(): Promise<void> {
    this.broken ??= "ended";
    await Promise.race([this.client.end(), sleep(connectMs)]);
  }

  /** Goes away without a farewell, as a caller that dies does. */
  destroy(): void {
    this.broken ??= "dropped";
    const { stream } = (this.client as unknown as RawClient).connection;
    stream.destroy();
  }

  private followToken(): void {
    (this.client as unknown as RawClient).connection.on("parameterStatus", (message) => {
      if (message.parameterName === "radishwalk.session") this.heardToken = message.parameterValue;
    });
  }
}

interface RawClient {
  readonly connection: {
    readonly stream: { destroy(): void };
    on(
      name: "parameterStatus",
      listener: (message: { parameterName: string; parameterValue: string }) => void,
    ): void;
  };
}

/** Sorts an error by the verdict in its detail; one that no server sent says nothing of the request. */
function classifyError(error: unknown): StatementOutcome {
  if (!(error instanceof pg.DatabaseError)) return { type: "broken", why: String(error) };
  const { code = "", detail = "", message } = error;
  const why = `${code} ${message} ${detail}`.trim();
  if (detail.includes("verdict: notRun")) return { type: "notRun", why };
  if (code === unknownOutcome) return { type: "mayHaveRun", why };
  return { type: "failed", code, why };
}
