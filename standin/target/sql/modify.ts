import type {
  DeleteStmt,
  InsertStmt,
  Node,
  OnConflictClause,
  SelectStmt,
  UpdateStmt,
} from "libpg-query";
import { SqlError } from "../error.js";
import { buildKey, type Column, type TableDefinition } from "../table.js";
import type { Transaction } from "../transaction.js";
import type { TableView } from "../view.js";
import { castValue, type Row, type Value } from "../value.js";
import { resolveValue } from "./expression.js";
import { listMatches } from "./lookup.js";
import { buildProjection, resolveRow } from "./projection.js";
import type { Result } from "./result.js";
import { findColumn, type Scope, type StatementContext } from "./scope.js";
import { runSelect } from "./select.js";

/** Runs INSERT, with DO NOTHING and DO UPDATE on conflict. */
export function runInsert(
  insert: InsertStmt,
  transaction: Transaction,
  context: StatementContext,
): Result {
  const view = transaction.get(insert.relation?.relname ?? "");
  const rows = buildRows(insert, view.definition, transaction, context);
  const changedRows = rows.flatMap((row) => addRow(view, row, insert.onConflictClause, context));
  return buildResult(
    `INSERT 0 ${changedRows.length}`,
    insert.returningClause?.exprs,
    view,
    changedRows,
    context,
  );
}

/** Runs UPDATE of one table. */
export function runUpdate(
  update: UpdateStmt,
  transaction: Transaction,
  context: StatementContext,
): Result {
  const view = transaction.get(update.relation?.relname ?? "");
  const alias = update.relation?.alias?.aliasname ?? view.definition.name;
  const found = listMatches(view, update.whereClause, context, alias);
  const changedRows = found.map(([id, row]) => {
    const scope: Scope = { context, columns: view.definition.columns, alias, row };
    return updateRow(view, id, update.targetList, scope);
  });
  return buildResult(
    `UPDATE ${changedRows.length}`,
    update.returningClause?.exprs,
    view,
    changedRows,
    context,
  );
}

/** Runs DELETE from one table. */
export function runDelete(
  remove: DeleteStmt,
  transaction: Transaction,
  context: StatementContext,
): Result {
  const view = transaction.get(remove.relation?.relname ?? "");
  const alias = remove.relation?.alias?.aliasname ?? view.definition.name;
  const found = listMatches(view, remove.whereClause, context, alias);
  for (const [id] of found) view.put(id, undefined);
  const rows = found.map(([, row]) => row);
  return buildResult(`DELETE ${rows.length}`, remove.returningClause?.exprs, view, rows, context);
}

function buildRows(
  insert: InsertStmt,
  definition: TableDefinition,
  transaction: Transaction,
  context: StatementContext,
): readonly Row[] {
  const { columns } = definition;
  const named = (insert.cols ?? []).map((c) =>
    findColumn(columns, "ResTarget" in c ? (c.ResTarget.name ?? "") : ""),
  );
  const positions = named.length > 0 ? named : columns.map((_, i) => i);
  const source = insert.selectStmt;
  if (source === undefined || !("SelectStmt" in source)) {
    return [buildRow(columns, [], [], context)];
  }
  return listSourceRows(source.SelectStmt, transaction, context).map((values) => {
    if (values.length > positions.length) {
      throw new SqlError("42601", "INSERT has more expressions than target columns");
    }
    return buildRow(columns, positions, values, context);
  });
}

/** Lists the rows to insert; an undefined value stands for DEFAULT. */
function listSourceRows(
  select: SelectStmt,
  transaction: Transaction,
  context: StatementContext,
): readonly (readonly (Value | undefined)[])[] {
  if (select.valuesLists === undefined) return runSelect(select, transaction, context).rows;
  const scope: Scope = { context, columns: [], alias: "", row: [] };
  return select.valuesLists.map((list) => {
    const items = "List" in list ? (list.List.items ?? []) : [];
    return items.map((i) => ("SetToDefault" in i ? undefined : resolveValue(i, scope)));
  });
}

function buildRow(
  columns: readonly Column[],
  positions: readonly number[],
  values: readonly (Value | undefined)[],
  context: StatementContext,
): Row {
  const scope: Scope = { context, columns: [], alias: "", row: [] };
  return columns.map((column, position) => {
    const at = positions.indexOf(position);
    const given = at < 0 ? undefined : values[at];
    return checkValue(column, given === undefined ? resolveValue(column.fallback, scope) : given);
  });
}

function checkValue(column: Column, value: Value): Value {
  const cast = castValue(value, column.type);
  if (cast === null && column.isRequired) {
    throw new SqlError(
      "23502",
      `null value in column "${column.name}" violates not-null constraint`,
    );
  }
  return cast;
}

function addRow(
  view: TableView,
  row: Row,
  conflict: OnConflictClause | undefined,
  context: StatementContext,
): readonly Row[] {
  const violation = findUniqueViolation(view, row, undefined);
  if (violation === undefined) {
    view.put(view.table.allocateId(), row);
    return [row];
  }
  if (conflict === undefined || !isHandledConflict(view, violation.position, conflict))
    throw violation.error;
  if (conflict.action !== "ONCONFLICT_UPDATE") return [];
  const { columns, name } = view.definition;
  const old = view.get(violation.id) ?? [];
  const scope: Scope = { context, columns, alias: name, row: old, excluded: row };
  return [updateRow(view, violation.id, conflict.targetList, scope)];
}

/** Whether ON CONFLICT names the columns of the violated unique constraint, or names none. */
function isHandledConflict(view: TableView, position: number, conflict: OnConflictClause): boolean {
  const named = conflict.infer?.indexElems?.map((e) => ("IndexElem" in e ? e.IndexElem.name : ""));
  if (named === undefined) return true;
  const unique = view.definition.uniques[position];
  const names = unique?.columns.map((c) => view.definition.columns[c]?.name) ?? [];
  return names.length === named.length && names.every((n) => named.includes(n));
}

function findUniqueViolation(view: TableView, row: Row, own: number | undefined) {
  for (const [position, unique] of view.definition.uniques.entries()) {
    const key = buildKey(unique.columns, row);
    if (key === undefined) continue;
    view.lockKey(position, key);
    const id = view.findId(position, key);
    if (id === undefined || id === own) continue;
    const text = `duplicate key value violates unique constraint "${unique.name}"`;
    return { position, id, error: new SqlError("23505", text) };
  }
  return undefined;
}

function updateRow(
  view: TableView,
  id: number,
  targets: readonly Node[] | undefined,
  scope: Scope,
): Row {
  const next = [...scope.row];
  for (const target of targets ?? []) {
    if (!("ResTarget" in target)) continue;
    const position = findColumn(scope.columns, target.ResTarget.name ?? "");
    const column = scope.columns[position];
    if (column === undefined) continue;
    next[position] = checkValue(column, resolveValue(target.ResTarget.val, scope));
  }
  const violation = findUniqueViolation(view, next, id);
  if (violation !== undefined) throw violation.error;
  view.put(id, next);
  return next;
}

function buildResult(
  tag: string,
  returning: readonly Node[] | undefined,
  view: TableView,
  rows: readonly Row[],
  context: StatementContext,
): Result {
  if (returning === undefined) return { rows: [], tag };
  const { columns, name } = view.definition;
  const projection = buildProjection(returning, columns);
  const answers = rows.map((row) => resolveRow(projection, { context, columns, alias: name, row }));
  return { fields: projection.fields, rows: answers, tag };
}
