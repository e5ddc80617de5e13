import { serialize } from "pg-protocol";
import type { ExchangeResult, MessageSink, TargetSession } from "../model/index.js";
import { readCommandTag, readSqlState } from "./answer.js";

const dataRow = "D".charCodeAt(0);
const fieldCountAt = 5;
const fieldsAt = 7;

/** The result of one of the owner's own statements. Rows hold text values, null for an SQL NULL. */
export interface SqlAnswer {
  readonly result: ExchangeResult;
  readonly tags: readonly string[];
  readonly rows: readonly (readonly (string | null)[])[];
  readonly sqlState: string | undefined;
}

/** Runs one of the owner's own statements on a session. */
export async function executeSql(
  session: TargetSession,
  text: string,
  signal: AbortSignal,
): Promise<SqlAnswer> {
  const tags: string[] = [];
  const rows: (readonly (string | null)[])[] = [];
  let sqlState: string | undefined;
  const collect: MessageSink = (message) => {
    const tag = readCommandTag(message);
    if (tag !== undefined) tags.push(tag);
    if (message[0] === dataRow) rows.push(readRow(Buffer.from(message)));
    sqlState ??= readSqlState(message);
  };
  const result = await session.exchange(serialize.query(text), collect, signal);
  return { result, tags, rows, sqlState };
}

/** Quotes a text as an SQL literal. */
export function quoteLiteral(text: string): string {
  return `'${text.replaceAll("'", "''")}'`;
}

function readRow(message: Buffer): readonly (string | null)[] {
  const fields: (string | null)[] = [];
  let at = fieldsAt;
  for (let left = message.readInt16BE(fieldCountAt); left > 0; left -= 1) {
    const length = message.readInt32BE(at);
    at += 4;
    fields.push(length < 0 ? null : message.toString("utf8", at, at + length));
    at += Math.max(0, length);
  }
  return fields;
}
