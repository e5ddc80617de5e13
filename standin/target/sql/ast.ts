import { loadModule, parseSync, type Node, type TypeName } from "libpg-query";
import { SqlError } from "../error.js";
import { findType, type DataType } from "../value.js";

/** One statement of a query string, with the part of the text that it spans. */
export interface Statement {
  readonly node: Node;
  readonly text: string;
}

const maxCachedTexts = 2000;
const cache = new Map<string, readonly Statement[]>();

/** Loads PostgreSQL's parser; must complete before the first statement is parsed. */
export const loadParser: () => Promise<void> = loadModule;

/** Parses a query string, which may hold several statements. */
export function parseStatements(text: string): readonly Statement[] {
  const cached = cache.get(text);
  if (cached !== undefined) return cached;
  const statements = splitStatements(text);
  if (cache.size >= maxCachedTexts) cache.clear();
  cache.set(text, statements);
  return statements;
}

function splitStatements(text: string): readonly Statement[] {
  const parsed = parseText(text);
  const bytes = Buffer.from(text);
  return parsed.flatMap(({ stmt }, i) => {
    const start = i === 0 ? 0 : parsed[i]?.stmt_location;
    const end = parsed[i + 1]?.stmt_location;
    return stmt === undefined ? [] : [{ node: stmt, text: bytes.toString("utf8", start, end) }];
  });
}

function parseText(text: string) {
  if (text.trim() === "") return [];
  try {
    return parseSync(text).stmts ?? [];
  } catch (error) {
    throw new SqlError("42601", error instanceof Error ? error.message : String(error));
  }
}

/** Reads the text of a `String` node. */
export function readString(node: Node | undefined): string {
  return node !== undefined && "String" in node ? (node.String.sval ?? "") : "";
}

/** Reads the last part of a possibly qualified name. */
export function readName(nodes: readonly Node[] | undefined): string {
  return readString(nodes?.at(-1));
}

/** Reads a type's name. */
export function readType(name: TypeName | undefined): DataType {
  if (name?.arrayBounds !== undefined) throw new SqlError("0A000", "arrays are not supported");
  return findType(readName(name?.names));
}
