import type { Filter } from "../../filter/index.js";
import { assertInvariant, type IdempotencyKey, type Outcome } from "../../model/index.js";
import { planKeyedWrite, type IdempotencyRecord } from "../../policy/index.js";
import { ownerEvents } from "../../log/events/owner.js";
import type { Logger } from "../../log/index.js";
import { describeShape, splitMessages } from "../answer.js";
import { failUnknown, getPlace, refuse, type ServeContext } from "../context.js";
import { buildErrorResponse } from "../error.js";
import { executeSql, formatLiteral, type SqlAnswer } from "../sql.js";

const table = "radishwalk_idempotency";
const undefinedTable = "42P01";
const serializationFailure = "40001";
const keyMisusedState = "22023";
const maxRounds = 4;
const retryAfterMs = 50;

/** The largest answer that is kept for repeats, in bytes; a repeat of a larger one gets an error. */
export const maxRecordedBytes = 256 * 1024;

/** Written in place of an answer that was too large to keep. */
const tooLarge = "too large";

/** What one round of a keyed write came to. */
type Round =
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
      for (let round = 0; round < maxRounds; round += 1) {
        const came = await runRound(context, idempotency, logger);
        if (came.type === "done") return came.outcome;
        context.answer.drop();
        if (came.type === "createTable") await createTable(context);
      }
      return refuse("overloaded", retryAfterMs, "another request holds the same key; try again");
    },
  };
}

async function runRound(
  context: ServeContext,
  key: IdempotencyKey,
  logger: Logger,
): Promise<Round> {
  const { session } = getPlace(context);
  const id = formatLiteral(`${context.request.traits.team}:${key.key}`);
  const digest = `${key.digest}:${describeShape(context.messages)}`;
  const claim = await executeSql(
    session,
    `BEGIN; INSERT INTO ${table} (key, digest, outcome) VALUES (${id}, ${formatLiteral(digest)}, '') ON CONFLICT DO NOTHING`,
    context.signal,
  );
  const broken = describeBroken(claim);
  if (broken !== undefined) return broken;
  if (claim.sqlState !== undefined) return rollBack(context, claim.sqlState);
  if (claim.tags.includes("INSERT 0 0")) return repeat(context, id, digest, logger);
  return runFirst(context, id);
}

/** A transaction whose `COMMIT` was never sent can't commit: the target rolls it back. */
function describeBroken(answer: SqlAnswer): Round | undefined {
  if (answer.result.type !== "broken") return undefined;
  const reason = `rolled back: ${answer.result.reason}`;
  return { type: "done", outcome: refuse("noConnection", retryAfterMs, reason) };
}

async function rollBack(context: ServeContext, sqlState: string): Promise<Round> {
  const { session } = getPlace(context);
  const answer = await executeSql(session, "ROLLBACK", context.signal);
  const broken = describeBroken(answer);
  if (broken !== undefined) return broken;
  if (sqlState === undefinedTable) return { type: "createTable" };
  if (sqlState === serializationFailure) return { type: "again" };
  const message = `the key could not be recorded (SQLSTATE ${sqlState})`;
  return { type: "done", outcome: refuse("superseded", retryAfterMs, message) };
}

async function createTable(context: ServeContext): Promise<void> {
  const text = `CREATE TABLE IF NOT EXISTS ${table} (key text PRIMARY KEY, digest text, outcome text)`;
  await executeSql(getPlace(context).session, text, context.signal);
}

async function runFirst(context: ServeContext, id: string): Promise<Round> {
  const place = getPlace(context);
  const { answer, signal } = context;
  const ran = await place.session.exchange(context.messages, answer.take, signal);
  if (ran.type === "broken") return describeBroken({ result: ran, ...noAnswer }) ?? againRound;
  if (answer.sqlState !== undefined) return endFailed(context, answer.sqlState);
  const recorded = encodeAnswer(answer.heldMessages);
  const text = `UPDATE ${table} SET outcome = ${formatLiteral(recorded)} WHERE key = ${id}`;
  const kept = await executeSql(place.session, text, signal);
  const broken = describeBroken(kept);
  if (broken !== undefined) return broken;
  if (kept.sqlState !== undefined) return rollBack(context, kept.sqlState);
  // Without its record the write would commit, and a repeat under its key would run it again.
  const isKept = kept.tags.includes("UPDATE 1");
  assertInvariant("atMostOnce", isKept, () => `${context.request.id} has no record of its key`);
  return isKept ? commit(context) : rollBack(context, serializationFailure);
}

const noAnswer = { tags: [], rows: [], sqlState: undefined } as const;
const againRound: Round = { type: "again" };

async function commit(context: ServeContext): Promise<Round> {
  const place = getPlace(context);
  const done = await executeSql(place.session, "COMMIT", context.signal);
  if (done.result.type === "broken") {
    const { sent, reason } = done.result;
    const outcome = sent
      ? failUnknown(`lost while committing: ${reason}`)
      : refuse("noConnection", retryAfterMs, `rolled back: ${reason}`);
    return { type: "done", outcome };
  }
  if (done.sqlState === serializationFailure) return againRound;
  if (done.sqlState !== undefined || done.tags.includes("ROLLBACK")) {
    const message = `the commit was refused (SQLSTATE ${done.sqlState ?? "none"})`;
    return { type: "done", outcome: refuse("superseded", retryAfterMs, message) };
  }
  return { type: "done", outcome: answerFrom(context) };
}

/** The statement itself failed: the caller gets the target's error, and nothing is recorded. */
async function endFailed(context: ServeContext, sqlState: string): Promise<Round> {
  const answer = await executeSql(getPlace(context).session, "ROLLBACK", context.signal);
  const broken = describeBroken(answer);
  if (broken !== undefined) return broken;
  if (sqlState === serializationFailure) return againRound;
  return { type: "done", outcome: answerFrom(context) };
}

async function repeat(
  context: ServeContext,
  id: string,
  digest: string,
  logger: Logger,
): Promise<Round> {
  const { session } = getPlace(context);
  const fields = { request: context.request.id, team: context.request.traits.team };
  const ended = await executeSql(session, "ROLLBACK", context.signal);
  const read = await executeSql(
    session,
    `SELECT digest, outcome FROM ${table} WHERE key = ${id}`,
    context.signal,
  );
  const broken = describeBroken(ended) ?? describeBroken(read);
  if (broken !== undefined) return broken;
  const plan = planKeyedWrite({ key: id, digest }, readRecord(id, read));
  switch (plan.type) {
    case "run":
      return againRound;
    case "conflict": {
      logger.write(ownerEvents.keyReused, fields);
      const message = "this idempotency key belongs to another statement; nothing ran";
      await context.answer.take(buildErrorResponse(keyMisusedState, message));
      return { type: "done", outcome: answerFrom(context) };
    }
    case "replay":
      logger.write(ownerEvents.recordedAnswerSent, fields);
      for (const message of decodeAnswer(plan.answer)) await context.answer.take(message);
      return { type: "done", outcome: answerFrom(context) };
  }
}

function readRecord(key: string, { rows }: SqlAnswer): IdempotencyRecord<string> | undefined {
  const [digest, answer] = rows[0] ?? [];
  if (typeof digest !== "string") return undefined;
  return { key, digest, answer: answer ?? tooLarge };
}

function answerFrom(context: ServeContext): Outcome {
  const { target, role } = getPlace(context);
  return { type: "answered", status: "I", servedBy: { target: target.name, role } };
}

function encodeAnswer(messages: Uint8Array): string {
  return messages.length > maxRecordedBytes ? tooLarge : Buffer.from(messages).toString("base64");
}

function decodeAnswer(text: string): readonly Uint8Array[] {
  if (text !== tooLarge) return splitMessages(Buffer.from(text, "base64"));
  const message = "the write ran before; its answer was too large to keep";
  return [buildErrorResponse(keyMisusedState, message)];
}
