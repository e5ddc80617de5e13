import type { Effect } from "../model/index.js";
import { LruCache } from "./cache.js";
import { findEffect } from "./effect.js";
import { classifyKind } from "./kind.js";
import { parseStatements, type ParsedStatement } from "./parser.js";
import type { StatementKind } from "./statement.js";

/** The classification of an SQL text, which may contain several statements. */
export interface Classification {
  readonly effect: Effect;
  /** Table names, with the schema unless it is `public`; sorted. */
  readonly tables: readonly string[];
  readonly statements: readonly StatementKind[];
}

const maxEntries = 10_000;
const maxBytes = 16 * 1024 * 1024;
const entryOverheadBytes = 400;

const unparsable: Classification = {
  effect: "write",
  tables: [],
  statements: [{ type: "plain" }],
};

const cache = new LruCache<Classification>({ maxEntries, maxBytes });

/**
 * Classifies an SQL text whose tags are removed. A text that can't be parsed is a write, so that it
 * goes to the primary. `loadParser` must have resolved. Results are cached by text, in bounded memory.
 */
export function classifyStatement(text: string): Classification {
  const cached = cache.get(text);
  if (cached !== undefined) return cached;
  const classification = classifyText(text);
  cache.set(text, classification, entryOverheadBytes + 2 * text.length);
  return classification;
}

function classifyText(text: string): Classification {
  try {
    const statements = parseStatements(text);
    return statements === undefined ? unparsable : mergeClassifications(statements);
  } catch {
    // The tree is nested too deeply for the stack; the target's parser decides whether it is valid.
    return unparsable;
  }
}

function mergeClassifications(statements: readonly ParsedStatement[]): Classification {
  const parts = statements.map(classifyParsed);
  return {
    effect: parts.every((part) => part.effect === "read") ? "read" : "write",
    tables: [...new Set(parts.flatMap((part) => part.tables))].sort(),
    statements: parts.map((part) => part.kind),
  };
}

function classifyParsed(statement: ParsedStatement): {
  readonly effect: Effect;
  readonly tables: readonly string[];
  readonly kind: StatementKind;
} {
  const kind = classifyKind(statement);
  const { effect, tables, sessionFunction } = findEffect(statement);
  if (sessionFunction !== undefined) {
    return { effect, tables, kind: { type: "sessionState", feature: sessionFunction } };
  }
  const isReadOnly = kind.type === "begin" && kind.isReadOnly;
  return { effect: isReadOnly ? "read" : effect, tables, kind };
}
