import { setTimeout as sleep } from "node:timers/promises";
import type { AttemptOutcome, OutcomeType } from "./outcome.js";
import type { SessionLedger, Violation } from "./ledger.js";
import type { LoadSession } from "./session.js";

/** What a request is for. */
export const workNames = ["reservation", "ownRead", "browse"] as const;

/** One of `workNames`. */
export type WorkName = (typeof workNames)[number];

/** How one request ended after all its attempts. */
export interface WorkResult {
  readonly type: OutcomeType;
  /** The last SQLSTATE or word, when it did not land. */
  readonly errorCode?: string;
  readonly repeats: number;
  readonly violation?: Violation;
}

/** One caller: its session and what it knows of its own reservations. */
export interface Caller {
  readonly session: LoadSession;
  readonly ledger: SessionLedger;
  readonly attempts: number;
  /** Numbers the reservations; each has its own key. */
  nextKey: number;
}

const table = "load_ledger";
const repeatPauseMs = 50;

/** Builds the table, once for each group. */
export function createTable(caller: Caller): Promise<AttemptOutcome> {
  return caller.session.runStatement(
    `CREATE TABLE IF NOT EXISTS ${table} (session text PRIMARY KEY, reservations int NOT NULL)`,
  );
}

/** Puts the caller's own row in. */
export function registerCaller({ ledger, session }: Caller): Promise<AttemptOutcome> {
  return session.runStatement(
    `INSERT INTO ${table} VALUES ('${ledger.session}', 0) ON CONFLICT DO NOTHING /* kind='setup' */`,
  );
}

/** Carries out one request. */
export function runWork(name: WorkName, caller: Caller, peer: Caller): Promise<WorkResult> {
  switch (name) {
    case "reservation":
      return putReservation(caller);
    case "ownRead":
      return readOwn(caller);
    case "browse":
      return readPeer(caller, peer);
  }
}

/**
 * Adds a reservation to the caller's count under a key of its own. When nobody can tell whether it
 * ran, it is repeated under the same key, so that a count that is too high shows a second landing.
 */
async function putReservation(caller: Caller): Promise<WorkResult> {
  const { ledger, session } = caller;
  const key = `${ledger.session}-${caller.nextKey++}`;
  const text =
    `UPDATE ${table} SET reservations = reservations + 1 WHERE session = '${ledger.session}'` +
    ` /* idempotency_key='${key}',kind='reservation' */`;
  let answer = await session.runStatement(text);
  let repeats = 0;
  const isOpen = answer.type === "mayHaveRun";
  while (isOpen && answer.type !== "landed" && repeats < caller.attempts - 1) {
    await sleep(repeatPauseMs);
    repeats += 1;
    answer = await session.runStatement(text);
  }
  if (answer.type === "landed") {
    ledger.recordCommitted();
    return { type: "landed", repeats };
  }
  if (isOpen) ledger.recordUncertain();
  return { type: isOpen ? "mayHaveRun" : answer.type, errorCode: answer.errorCode, repeats };
}

/** Reads the caller's own count and checks it. */
export async function readOwn({ ledger, session }: Caller): Promise<WorkResult> {
  const answer = await session.runStatement(
    `SELECT reservations FROM ${table} WHERE session = '${ledger.session}' /* kind='ownRead' */`,
  );
  if (answer.type !== "landed")
    return { type: answer.type, errorCode: answer.errorCode, repeats: 0 };
  const violation = ledger.checkCount(Number(answer.rows[0]?.[0] ?? -1));
  return { type: "landed", repeats: 0, ...(violation === undefined ? {} : { violation }) };
}

async function readPeer({ session }: Caller, peer: Caller): Promise<WorkResult> {
  const answer = await session.runStatement(
    `SELECT reservations FROM ${table} WHERE session = '${peer.ledger.session}' /* kind='browse' */`,
  );
  if (answer.type !== "landed")
    return { type: answer.type, errorCode: answer.errorCode, repeats: 0 };
  return { type: "landed", repeats: 0 };
}
