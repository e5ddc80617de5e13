import { setTimeout as sleep } from "node:timers/promises";
import pg from "pg";
import type { Address } from "../../src/model/index.js";

/**
 * The outcome of a statement as its caller sees it. `broken`, a lost connection or a timeout, says
 * nothing about whether it ran.
 */
export type StatementOutcome =
  | { readonly type: "answered"; readonly tag: string; readonly rows: readonly Row[] }
  | { readonly type: "notRun"; readonly reason: string }
  | { readonly type: "mayHaveRun"; readonly reason: string }
  | { readonly type: "broken"; readonly reason: string }
  | { readonly type: "failed"; readonly code: string; readonly reason: string };

/** A row as values by column name. */
export type Row = Readonly<Record<string, unknown>>;

/** A statement for the `pg` driver, which prepares it when it has a name. */
export interface Statement {
  readonly text: string;
  readonly values?: readonly unknown[];
  readonly name?: string;
}

/** The group and the team of a connection, and the session token that it presents. */
export interface CallerOptions {
  readonly group: string;
  readonly team: string;
  readonly token?: string;
}

const answerTimeoutMs = 15_000;
const connectTimeoutMs = 5_000;
const unknownOutcome = "08007";

/** A connection of the unmodified `pg` driver. */
export class Caller {
  private lastToken: string | undefined;
  private closeReason: string | undefined;

  private constructor(private readonly client: pg.Client) {
    client.on("error", (error) => (this.closeReason = String(error)));
    client.on("end", () => (this.closeReason ??= "ended"));
    this.followToken();
  }

  /** Connects; rejects when the connection or its startup fails or times out. */
  static async connect(address: Address, options: CallerOptions): Promise<Caller> {
    const client = new pg.Client({
      ...address,
      database: options.group,
      user: options.team,
      connectionTimeoutMillis: connectTimeoutMs,
      ...(options.token === undefined ? {} : { options: `-c radishwalk.session=${options.token}` }),
    });
    const caller = new Caller(client);
    await client.connect();
    return caller;
  }

  /** The latest session token that the proxy sent. */
  get token(): string | undefined {
    return this.lastToken;
  }

  get isUsable(): boolean {
    return this.closeReason === undefined;
  }

  /** Runs a statement. On a timeout it closes the connection and reports `broken`. */
  async runStatement({ values, ...statement }: Statement): Promise<StatementOutcome> {
    if (this.closeReason !== undefined)
      return { type: "notRun", reason: `never sent: ${this.closeReason}` };
    let timer: NodeJS.Timeout | undefined;
    const timedOut = new Promise<StatementOutcome>((resolve) => {
      timer = setTimeout(() => {
        this.destroy();
        resolve({ type: "broken", reason: `no answer within ${answerTimeoutMs} ms` });
      }, answerTimeoutMs);
    });
    const query = { ...statement, ...(values === undefined ? {} : { values: [...values] }) };
    const outcome = this.client.query<Row>(query).then(
      (result): StatementOutcome => ({ type: "answered", tag: result.command, rows: result.rows }),
      (error: unknown) => classifyError(error),
    );
    try {
      return await Promise.race([outcome, timedOut]);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes the connection in the regular way, with a Terminate message. */
  async end(): Promise<void> {
    this.closeReason ??= "ended";
    await Promise.race([this.client.end(), sleep(connectTimeoutMs)]);
  }

  /** Closes the socket without a Terminate message, as a crashing caller does. */
  destroy(): void {
    this.closeReason ??= "dropped";
    const { stream } = (this.client as unknown as RawClient).connection;
    stream.destroy();
  }

  private followToken(): void {
    (this.client as unknown as RawClient).connection.on("parameterStatus", (message) => {
      if (message.parameterName === "radishwalk.session") this.lastToken = message.parameterValue;
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

/**
 * Classifies an error by the verdict in its detail. An error that no server sent says nothing about
 * whether the statement ran.
 */
function classifyError(error: unknown): StatementOutcome {
  if (!(error instanceof pg.DatabaseError)) return { type: "broken", reason: String(error) };
  const { code = "", detail = "", message } = error;
  const reason = `${code} ${message} ${detail}`.trim();
  if (detail.includes("verdict: notRun")) return { type: "notRun", reason };
  if (code === unknownOutcome) return { type: "mayHaveRun", reason };
  return { type: "failed", code, reason };
}
