import { SqlError } from "../error.js";
import type { Column } from "../table.js";
import type { Row, Value } from "../value.js";

/** What a statement brings along: the values of its parameters and the settings it may ask for. */
export interface StatementContext {
  /** Parameters in text format, `$1` first. */
  readonly parameters: readonly (string | null)[];
  readonly now: string;
  readonly isReplica: boolean;
}

/** Where an expression finds its columns. */
export interface Scope {
  readonly context: StatementContext;
  readonly columns: readonly Column[];
  /** The name under which the columns may be qualified. */
  readonly alias: string;
  readonly row: Row;
  /** The rows of the group, where aggregates may stand. */
  readonly group?: readonly Row[];
  /** The row that an insert proposed, as `excluded` in ON CONFLICT. */
  readonly excluded?: Row;
}

/** Finds a column's place by its name. */
export function findColumn(columns: readonly Column[], name: string): number {
  const place = columns.findIndex((c) => c.name === name);
  if (place < 0) throw new SqlError("42703", `column "${name}" does not exist`);
  return place;
}

/** Reads a column, plain or qualified. */
export function readColumn(scope: Scope, path: readonly string[]): Value {
  const place = findColumn(scope.columns, path.at(-1) ?? "");
  const qualifier = path.at(-2);
  if (qualifier === "excluded" && scope.excluded !== undefined)
    return scope.excluded[place] ?? null;
  if (qualifier !== undefined && qualifier !== scope.alias) {
    throw new SqlError("42P01", `missing FROM-clause entry for table "${qualifier}"`);
  }
  return scope.row[place] ?? null;
}
