import type { ColumnDef, Constraint, CreateStmt, DropStmt, Node } from "libpg-query";
import { createUnsupportedError, SqlError } from "../error.js";
import type { Column, TableDefinition, UniqueKey } from "../table.js";
import type { Transaction } from "../transaction.js";
import { readName, readString, readType } from "./ast.js";
import type { Result } from "./result.js";
import { findColumn } from "./scope.js";

/** Runs CREATE TABLE. */
export function runCreate(create: CreateStmt, transaction: Transaction): Result {
  const name = create.relation?.relname ?? "";
  if (transaction.find(name) === undefined) {
    transaction.create(buildDefinition(name, create.tableElts ?? []));
  } else if (create.if_not_exists !== true) {
    throw new SqlError("42P07", `relation "${name}" already exists`);
  }
  return { rows: [], tag: "CREATE TABLE" };
}

/** Runs DROP TABLE. */
export function runDrop(drop: DropStmt, transaction: Transaction): Result {
  if (drop.removeType !== "OBJECT_TABLE")
    throw createUnsupportedError("DROP of anything but tables");
  for (const object of drop.objects ?? []) {
    const name = "List" in object ? readName(object.List.items) : "";
    if (transaction.find(name) !== undefined) transaction.drop(name);
    else if (drop.missing_ok !== true) {
      throw new SqlError("42P01", `table "${name}" does not exist`);
    }
  }
  return { rows: [], tag: "DROP TABLE" };
}

function buildDefinition(name: string, elements: readonly Node[]): TableDefinition {
  const defs = elements.flatMap((e) => ("ColumnDef" in e ? [e.ColumnDef] : []));
  const columns = defs.map(buildColumn);
  const ofColumns = defs.flatMap((def, position) =>
    listConstraints(def.constraints).flatMap((c) => buildUnique(name, c, columns, [position])),
  );
  const ofTable = listConstraints(elements).flatMap((c) => buildUnique(name, c, columns, []));
  const uniques = [...ofColumns, ...ofTable];
  const primary = uniques.find((u) => u.isPrimary)?.columns ?? [];
  const required = columns.map((c, i) => (primary.includes(i) ? { ...c, isRequired: true } : c));
  return { name, columns: required, uniques };
}

function listConstraints(nodes: readonly Node[] | undefined): readonly Constraint[] {
  return (nodes ?? []).flatMap((n) => ("Constraint" in n ? [n.Constraint] : []));
}

function buildColumn(def: ColumnDef): Column {
  const constraints = listConstraints(def.constraints);
  const fallback = constraints.find((c) => c.contype === "CONSTR_DEFAULT")?.raw_expr;
  const isRequired = constraints.some((c) => c.contype === "CONSTR_NOTNULL");
  const column = { name: def.colname ?? "", type: readType(def.typeName), isRequired };
  return fallback === undefined ? column : { ...column, fallback };
}

function buildUnique(
  table: string,
  constraint: Constraint,
  columns: readonly Column[],
  own: readonly number[],
): readonly UniqueKey[] {
  const isPrimary = constraint.contype === "CONSTR_PRIMARY";
  if (!isPrimary && constraint.contype !== "CONSTR_UNIQUE") return [];
  const named = (constraint.keys ?? []).map((k) => findColumn(columns, readString(k)));
  const positions = named.length > 0 ? named : own;
  const parts = positions.map((p) => columns[p]?.name ?? "").join("_");
  const defaultName = isPrimary ? `${table}_pkey` : `${table}_${parts}_key`;
  return [{ name: constraint.conname ?? defaultName, columns: positions, isPrimary }];
}
