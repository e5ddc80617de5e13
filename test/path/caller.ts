import pg from "pg";
import type { Address } from "../../src/model/index.js";

/** What a caller learnt of one statement. */
export type StatementOutcome =
  | { readonly type: "answered"; readonly rows: readonly unknown[] }
  /** By SQLSTATE and the verdict in the error's detail. */
  | { readonly type: "notRun"; readonly code: string; readonly message: string }
  | { readonly type: "mayHaveRun"; readonly code: string; readonly message: string }
  | { readonly type: "error"; readonly code: string; readonly message: string };

/** Connects an ordinary PostgreSQL client, with a session's token when it roams. */
export async function connectCaller(
  { host, port }: Address,
  options: { readonly group?: string; readonly team?: string; readonly token?: string } = {},
): Promise<pg.Client> {
  const client = new pg.Client({
    host,
    port,
    database: options.group ?? "ledger",
    user: options.team ?? "ferrante",
    ...(options.token === undefined ? {} : { options: `-c radishwalk.session=${options.token}` }),
  });
  client.on("error", () => undefined);
  await client.connect();
  return client;
}

/** Follows the session's token, which the proxy sends as a parameter. */
export function followToken(client: pg.Client): { token: string | undefined } {
  const holder: { token: string | undefined } = { token: undefined };
  const { connection } = client as unknown as {
    readonly connection: {
      on(
        name: "parameterStatus",
        listener: (message: { parameterName: string; parameterValue: string }) => void,
      ): void;
    };
  };
  connection.on("parameterStatus", ({ parameterName, parameterValue }) => {
    if (parameterName === "radishwalk.session") holder.token = parameterValue;
  });
  return holder;
}

/** Runs one statement and sorts what the caller hears by its verdict. */
export async function runStatement(client: pg.Client, sql: string): Promise<StatementOutcome> {
  try {
    const result = await client.query(sql);
    return { type: "answered", rows: result.rows };
  } catch (error) {
    return sortError(error as pg.DatabaseError);
  }
}

function sortError({ code, detail, message }: pg.DatabaseError): StatementOutcome {
  const said = { code: code ?? "", message: `${message} ${detail ?? ""}` };
  if (detail?.includes("verdict: notRun") === true) return { type: "notRun", ...said };
  if (code === "08007") return { type: "mayHaveRun", ...said };
  // A caller whose connection broke heard no verdict: it must take it that the statement may have run.
  if (code === undefined || code === "") return { type: "mayHaveRun", ...said };
  return { type: "error", ...said };
}
