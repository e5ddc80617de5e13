import { setTimeout as sleep } from "node:timers/promises";
import type { AttemptOutcome, OutcomeType } from "./outcome.js";
import type { SessionLedger, Violation } from "./ledger.js";
import type { LoadSession } from "./session.js";

/** The kinds of requests: add a reservation, read the own count, read the count of another session. */
export const workNames = ["reservation", "ownRead", "browse"] as const;

/** One of `workNames`. */
export type WorkName = (typeof workNames)[number];

/** How one request ended after all its attempts. */
export interface WorkResult {
  readonly type: OutcomeType;
  /** The last SQLSTATE or connection failure; undefined when it landed. */
  readonly errorCode?: string;
  readonly repeats: number;
  readonly violation?: Violation;
}

/** One caller: its session and the ledger of its own reservations. */
export interface Caller {
  readonly session: LoadSession;
  readonly ledger: SessionLedger;
  readonly attempts: number;
  /** Number of the next reservation, from which its idempotency key is built. */
  nextKey: number;
}

const table = "load_ledger";
const repeatPauseMs = 50;

/** Creates the table; called once for each group. */
export function createTable(caller: Caller): Promise<AttemptOutcome> {
  return caller.session.runStatement(
    `CREATE TABLE IF NOT EXISTS ${table} (session text PRIMARY KEY, reservations int NOT NULL)`,
  );
}

/** Inserts the caller's row. */
export function registerCaller({ ledger, session }: Caller): Promise<AttemptOutcome> {
  return session.runStatement(
    `INSERT INTO ${table} VALUES ('${ledger.session}', 0) ON CONFLICT DO NOTHING /* kind='setup' */`,
  );
}

/** Runs one request; `other` is the caller whose count a browsing request reads. */
export function runWork(name: WorkName, caller: Caller, other: Caller): Promise<WorkResult> {
  switch (name) {
    case "reservation":
      return addReservation(caller);
    case "ownRead":
      return readOwn(caller);
    case "browse":
      return readOther(caller, other);
  }
}

/**
 * Adds a reservation to the caller's count with its own idempotency key. When it is unknown whether it
 * ran, it is repeated with the same key, so that a count that is too high reveals a second execution.
 */
async function addReservation(caller: Caller): Promise<WorkResult> {
  const { ledger, session } = caller;
  const key = `${ledger.session}-${caller.nextKey++}`;
  const text =
    `UPDATE ${table} SET reservations = reservations + 1 WHERE session = '${ledger.session}'` +
    ` /* idempotency_key='${key}',kind='reservation' */`;
  let outcome = await session.runStatement(text);
  let repeats = 0;
  const isUncertain = outcome.type === "mayHaveRun";
  while (isUncertain && outcome.type !== "landed" && repeats < caller.attempts - 1) {
    await sleep(repeatPauseMs);
    repeats += 1;
    outcome = await session.runStatement(text);
  }
  if (outcome.type === "landed") {
    ledger.recordCommitted();
    return { type: "landed", repeats };
  }
  if (isUncertain) ledger.recordUncertain();
  return { type: isUncertain ? "mayHaveRun" : outcome.type, errorCode: outcome.errorCode, repeats };
}

/** Reads the caller's own count and checks it against the ledger. */
export async function readOwn({ ledger, session }: Caller): Promise<WorkResult> {
  const outcome = await session.runStatement(
    `SELECT reservations FROM ${table} WHERE session = '${ledger.session}' /* kind='ownRead' */`,
  );
  if (outcome.type !== "landed")
    return { type: outcome.type, errorCode: outcome.errorCode, repeats: 0 };
  const violation = ledger.checkCount(Number(outcome.rows[0]?.[0] ?? -1));
  return { type: "landed", repeats: 0, ...(violation === undefined ? {} : { violation }) };
}

async function readOther({ session }: Caller, other: Caller): Promise<WorkResult> {
  const outcome = await session.runStatement(
    `SELECT reservations FROM ${table} WHERE session = '${other.ledger.session}' /* kind='browse' */`,
  );
  if (outcome.type !== "landed")
    return { type: outcome.type, errorCode: outcome.errorCode, repeats: 0 };
  return { type: "landed", repeats: 0 };
}
