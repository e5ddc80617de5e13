import { SqlError } from "../error.js";
import type { Column } from "../table.js";
import type { Row, Value } from "../value.js";

/** A statement's parameter values and the environment that its functions can read. */
export interface StatementContext {
  /** Parameters in text format, `$1` first. */
  readonly parameters: readonly (string | null)[];
  readonly now: string;
  readonly isReplica: boolean;
}

/** The columns and rows that an expression is evaluated against. */
export interface Scope {
  readonly context: StatementContext;
  readonly columns: readonly Column[];
  /** The name that may qualify the columns. */
  readonly alias: string;
  readonly row: Row;
  /** The rows of the group; undefined where aggregates are not allowed. */
  readonly group?: readonly Row[];
  /** The row proposed for insertion, which ON CONFLICT reads as `excluded`. */
  readonly excluded?: Row;
}

/** Finds a column's index by its name; fails if there is none. */
export function findColumn(columns: readonly Column[], name: string): number {
  const position = columns.findIndex((c) => c.name === name);
  if (position < 0) throw new SqlError("42703", `column "${name}" does not exist`);
  return position;
}

/** Reads a column by its name, which may be qualified. */
export function readColumn(scope: Scope, path: readonly string[]): Value {
  const position = findColumn(scope.columns, path.at(-1) ?? "");
  const qualifier = path.at(-2);
  if (qualifier === "excluded" && scope.excluded !== undefined)
    return scope.excluded[position] ?? null;
  if (qualifier !== undefined && qualifier !== scope.alias) {
    throw new SqlError("42P01", `missing FROM-clause entry for table "${qualifier}"`);
  }
  return scope.row[position] ?? null;
}
