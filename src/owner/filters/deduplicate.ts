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

/** The largest answer that is kept for repeats, in bytes; a repeat of a larger one gets an error. */
export const maxRecordedBytes = 256 * 1024;

/** Written in place of an answer that was too large to keep. */
const tooLargeMarker = "too large";

/** What one round of a keyed write came to. */
type TryResult =
  | { readonly type: "done"; readonly outcome: Outcome }
  | { readonly type: "again" }
  | { readonly type: "createTable" };

/**
 * Runs a keyed write in one transaction with the record of its key and answer. Were the record
 * written apart, a proxy that died between the two would leave a write without its record, and the
 * caller's repeat would run it twice. In one transaction there are both or neither.
 */
export function createDeduplicateFilter(logger: Logger): Filter<ServeContext> {
  return {
    name: "deduplicate",
    async apply(context, next) {
      const { idempotency, traits } = context.request;
      if (idempotency === undefined || traits.effect === "read" || traits.transaction) {
        return next(context);
      }
      for (let round = 0; round < maxTries; round += 1) {
        const came = await tryOnce(context, idempotency, logger);
        if (came.type === "done") return came.outcome;
        context.answer.discard();
        if (came.type === "createTable") await createTable(context);
      }
      return refuse("overloaded", retryAfterMs, "another request holds the same key; try again");
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

/** A transaction whose `COMMIT` was never sent can't commit: the target rolls it back. */
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
  const message = `the key could not be recorded (SQLSTATE ${sqlState})`;
  return { type: "done", outcome: refuse("superseded", retryAfterMs, message) };
}

async function createTable(context: ServeContext): Promise<void> {
  const text = `CREATE TABLE IF NOT EXISTS ${table} (key text PRIMARY KEY, digest text, outcome text)`;
  await executeSql(getPlacedConnection(context).session, text, context.signal);
}

async function runWrite(context: ServeContext, id: string): Promise<TryResult> {
  const place = getPlacedConnection(context);
  const { answer, signal } = context;
  const ran = await place.session.exchange(context.messages, answer.receive, signal);
  if (ran.type === "broken") return findBrokenResult({ result: ran, ...emptyAnswer }) ?? tryAgain;
  if (answer.sqlState !== undefined) return rollBackFailed(context, answer.sqlState);
  const recorded = encodeAnswer(answer.heldMessages);
  const text = `UPDATE ${table} SET outcome = ${quoteLiteral(recorded)} WHERE key = ${id}`;
  const kept = await executeSql(place.session, text, signal);
  const broken = findBrokenResult(kept);
  if (broken !== undefined) return broken;
  if (kept.sqlState !== undefined) return rollBack(context, kept.sqlState);
  // Without its record the write would commit, and a repeat under its key would run it again.
  const isKept = kept.tags.includes("UPDATE 1");
  assertInvariant("atMostOnce", isKept, () => `${context.request.id} has no record of its key`);
  return isKept ? commit(context) : rollBack(context, serializationFailure);
}

const emptyAnswer = { tags: [], rows: [], sqlState: undefined } as const;
const tryAgain: TryResult = { type: "again" };

async function commit(context: ServeContext): Promise<TryResult> {
  const place = getPlacedConnection(context);
  const done = await executeSql(place.session, "COMMIT", context.signal);
  if (done.result.type === "broken") {
    const { sent, reason } = done.result;
    const outcome = sent
      ? failUnknown(`lost while committing: ${reason}`)
      : refuse("noConnection", retryAfterMs, `rolled back: ${reason}`);
    return { type: "done", outcome };
  }
  if (done.sqlState === serializationFailure) return tryAgain;
  if (done.sqlState !== undefined || done.tags.includes("ROLLBACK")) {
    const message = `the commit was refused (SQLSTATE ${done.sqlState ?? "none"})`;
    return { type: "done", outcome: refuse("superseded", retryAfterMs, message) };
  }
  return { type: "done", outcome: buildAnswered(context) };
}

/** The statement itself failed: the caller gets the target's error, and nothing is recorded. */
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
      logger.write(ownerEvents.keyMisused, fields);
      const message = "this idempotency key belongs to another statement; nothing ran";
      await context.answer.receive(buildErrorResponse(keyMisusedState, message));
      return { type: "done", outcome: buildAnswered(context) };
    }
    case "replay":
      logger.write(ownerEvents.answerRepeated, fields);
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
  const message = "the write ran before; its answer was too large to keep";
  return [buildErrorResponse(keyMisusedState, message)];
}
