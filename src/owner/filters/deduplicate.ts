import type { Filter } from "../../filter/index.js";
import { assertInvariant, type IdempotencyKey, type Outcome } from "../../model/index.js";
import { planKeyedWrite, type IdempotencyRecord } from "../../policy/index.js";
import { ownerEvents } from "../../log/events/owner.js";
import type { Logger } from "../../log/index.js";
import { listMessageTypes, splitMessages } from "../answer.js";
import { failUnknown, getPlacedConnection, refuse, type ServeContext } from "../context.js";
import { buildErrorResponse } from "../error.js";
import { executeSql, quoteLiteral, type SqlAnswer } from "../sql.js";

const table = "radishwalk_idempotency";
const undefinedTable = "42P01";
const serializationFailure = "40001";
const keyMisusedState = "22023";
const maxTries = 4;
const retryAfterMs = 50;

/** The largest answer that is recorded for repeats, in bytes; a repeat of a larger one gets an error. */
export const maxRecordedBytes = 256 * 1024;

/** Recorded instead of an answer that is larger than `maxRecordedBytes`. */
const tooLargeMarker = "too large";

/** The result of one try of a keyed write: its outcome, or what to do before the next try. */
type TryResult =
  | { readonly type: "done"; readonly outcome: Outcome }
  | { readonly type: "again" }
  | { readonly type: "createTable" };

/**
 * Runs a keyed write in one transaction with the record of its key and answer. If the record was written
 * separately, a proxy that failed between the two would leave a write without its record, and the
 * caller's repeat would run it a second time. In one transaction either both are committed or neither.
 */
export function createDeduplicateFilter(logger: Logger): Filter<ServeContext> {
  return {
    name: "deduplicate",
    async apply(context, next) {
      const { idempotency, traits } = context.request;
      if (idempotency === undefined || traits.effect === "read" || traits.transaction) {
        return next(context);
      }
      for (let tries = 0; tries < maxTries; tries += 1) {
        const result = await tryOnce(context, idempotency, logger);
        if (result.type === "done") return result.outcome;
        context.answer.discard();
        if (result.type === "createTable") await createTable(context);
      }
      return refuse(
        "overloaded",
        retryAfterMs,
        "another request with the same idempotency key is in progress; try again",
      );
    },
  };
}

async function tryOnce(
  context: ServeContext,
  key: IdempotencyKey,
  logger: Logger,
): Promise<TryResult> {
  const { session } = getPlacedConnection(context);
  const id = quoteLiteral(`${context.request.traits.team}:${key.key}`);
  const digest = `${key.digest}:${listMessageTypes(context.messages)}`;
  const claim = await executeSql(
    session,
    `BEGIN; INSERT INTO ${table} (key, digest, outcome) VALUES (${id}, ${quoteLiteral(digest)}, '') ON CONFLICT DO NOTHING`,
    context.signal,
  );
  const broken = findBrokenResult(claim);
  if (broken !== undefined) return broken;
  if (claim.sqlState !== undefined) return rollBack(context, claim.sqlState);
  if (claim.tags.includes("INSERT 0 0")) return answerRepeat(context, id, digest, logger);
  return runWrite(context, id);
}

/**
 * Builds the refusal for a connection that broke; undefined if it did not. The target rolls back a
 * transaction whose `COMMIT` was never sent, so the write has not run.
 */
function findBrokenResult(answer: SqlAnswer): TryResult | undefined {
  if (answer.result.type !== "broken") return undefined;
  const reason = `rolled back: ${answer.result.reason}`;
  return { type: "done", outcome: refuse("noConnection", retryAfterMs, reason) };
}

async function rollBack(context: ServeContext, sqlState: string): Promise<TryResult> {
  const { session } = getPlacedConnection(context);
  const answer = await executeSql(session, "ROLLBACK", context.signal);
  const broken = findBrokenResult(answer);
  if (broken !== undefined) return broken;
  if (sqlState === undefinedTable) return { type: "createTable" };
  if (sqlState === serializationFailure) return { type: "again" };
  const message = `the idempotency key could not be recorded (SQLSTATE ${sqlState})`;
  return { type: "done", outcome: refuse("superseded", retryAfterMs, message) };
}

async function createTable(context: ServeContext): Promise<void> {
  const text = `CREATE TABLE IF NOT EXISTS ${table} (key text PRIMARY KEY, digest text, outcome text)`;
  await executeSql(getPlacedConnection(context).session, text, context.signal);
}

async function runWrite(context: ServeContext, id: string): Promise<TryResult> {
  const placed = getPlacedConnection(context);
  const { answer, signal } = context;
  const exchanged = await placed.session.exchange(context.messages, answer.receive, signal);
  if (exchanged.type === "broken")
    return findBrokenResult({ result: exchanged, ...emptyAnswer }) ?? tryAgain;
  if (answer.sqlState !== undefined) return rollBackFailed(context, answer.sqlState);
  const recorded = encodeAnswer(answer.heldMessages);
  const text = `UPDATE ${table} SET outcome = ${quoteLiteral(recorded)} WHERE key = ${id}`;
  const updated = await executeSql(placed.session, text, signal);
  const broken = findBrokenResult(updated);
  if (broken !== undefined) return broken;
  if (updated.sqlState !== undefined) return rollBack(context, updated.sqlState);
  // If the write committed without its record, a repeat with the same key would run it again.
  const isRecorded = updated.tags.includes("UPDATE 1");
  assertInvariant(
    "atMostOnce",
    isRecorded,
    () => `${context.request.id} has no record of its idempotency key`,
  );
  return isRecorded ? commit(context) : rollBack(context, serializationFailure);
}

const emptyAnswer = { tags: [], rows: [], sqlState: undefined } as const;
const tryAgain: TryResult = { type: "again" };

async function commit(context: ServeContext): Promise<TryResult> {
  const placed = getPlacedConnection(context);
  const committed = await executeSql(placed.session, "COMMIT", context.signal);
  if (committed.result.type === "broken") {
    const { sent, reason } = committed.result;
    const outcome = sent
      ? failUnknown(`connection lost during COMMIT: ${reason}`)
      : refuse("noConnection", retryAfterMs, `rolled back: ${reason}`);
    return { type: "done", outcome };
  }
  if (committed.sqlState === serializationFailure) return tryAgain;
  if (committed.sqlState !== undefined || committed.tags.includes("ROLLBACK")) {
    const message = `the commit was refused (SQLSTATE ${committed.sqlState ?? "none"})`;
    return { type: "done", outcome: refuse("superseded", retryAfterMs, message) };
  }
  return { type: "done", outcome: buildAnswered(context) };
}

/** Ends a write whose statement failed: the caller gets the target's error, and nothing is recorded. */
async function rollBackFailed(context: ServeContext, sqlState: string): Promise<TryResult> {
  const answer = await executeSql(getPlacedConnection(context).session, "ROLLBACK", context.signal);
  const broken = findBrokenResult(answer);
  if (broken !== undefined) return broken;
  if (sqlState === serializationFailure) return tryAgain;
  return { type: "done", outcome: buildAnswered(context) };
}

async function answerRepeat(
  context: ServeContext,
  id: string,
  digest: string,
  logger: Logger,
): Promise<TryResult> {
  const { session } = getPlacedConnection(context);
  const fields = { request: context.request.id, team: context.request.traits.team };
  const ended = await executeSql(session, "ROLLBACK", context.signal);
  const read = await executeSql(
    session,
    `SELECT digest, outcome FROM ${table} WHERE key = ${id}`,
    context.signal,
  );
  const broken = findBrokenResult(ended) ?? findBrokenResult(read);
  if (broken !== undefined) return broken;
  const plan = planKeyedWrite({ key: id, digest }, readRecord(id, read));
  switch (plan.type) {
    case "run":
      return tryAgain;
    case "conflict": {
      logger.write(ownerEvents.keyReused, fields);
      const message = "this idempotency key was used with another statement; nothing ran";
      await context.answer.receive(buildErrorResponse(keyMisusedState, message));
      return { type: "done", outcome: buildAnswered(context) };
    }
    case "replay":
      logger.write(ownerEvents.recordedAnswerSent, fields);
      for (const message of decodeAnswer(plan.answer)) await context.answer.receive(message);
      return { type: "done", outcome: buildAnswered(context) };
  }
}

function readRecord(key: string, { rows }: SqlAnswer): IdempotencyRecord<string> | undefined {
  const [digest, answer] = rows[0] ?? [];
  if (typeof digest !== "string") return undefined;
  return { key, digest, answer: answer ?? tooLargeMarker };
}

function buildAnswered(context: ServeContext): Outcome {
  const { target, role } = getPlacedConnection(context);
  return { type: "answered", status: "I", servedBy: { target: target.name, role } };
}

function encodeAnswer(messages: Uint8Array): string {
  return messages.length > maxRecordedBytes
    ? tooLargeMarker
    : Buffer.from(messages).toString("base64");
}

function decodeAnswer(text: string): readonly Uint8Array[] {
  if (text !== tooLargeMarker) return splitMessages(Buffer.from(text, "base64"));
  const message = "the write has already run; its answer was too large to record";
  return [buildErrorResponse(keyMisusedState, message)];
}
