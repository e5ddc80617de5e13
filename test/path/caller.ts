import pg from "pg";
import type { Address } from "../../src/model/index.js";

/** The outcome of a statement as its caller sees it. */
export type StatementOutcome =
  | { readonly type: "answered"; readonly rows: readonly unknown[] }
  /** These are told apart by the SQLSTATE and the verdict in the error's detail. */
  | { readonly type: "notRun"; readonly code: string; readonly message: string }
  | { readonly type: "mayHaveRun"; readonly code: string; readonly message: string }
  | { readonly type: "error"; readonly code: string; readonly message: string };

/** Connects an unmodified PostgreSQL client, which presents a session token when one is given. */
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

/** Keeps the latest session token, which the proxy sends as a ParameterStatus message. */
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

/** Runs a statement and classifies its result by the verdict. */
export async function runStatement(client: pg.Client, sql: string): Promise<StatementOutcome> {
  try {
    const result = await client.query(sql);
    return { type: "answered", rows: result.rows };
  } catch (error) {
    return classifyError(error as pg.DatabaseError);
  }
}

function classifyError({ code, detail, message }: pg.DatabaseError): StatementOutcome {
  const fields = { code: code ?? "", message: `${message} ${detail ?? ""}` };
  if (detail?.includes("verdict: notRun") === true) return { type: "notRun", ...fields };
  if (code === "08007") return { type: "mayHaveRun", ...fields };
  // A caller whose connection broke received no verdict, so the statement may have run.
  if (code === undefined || code === "") return { type: "mayHaveRun", ...fields };
  return { type: "error", ...fields };
}
