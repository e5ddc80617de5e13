import type { FuncCall, Node, RangeFunction, SelectStmt, SortBy } from "libpg-query";
import { createUnsupportedError } from "../error.js";
import type { Column } from "../table.js";
import type { Transaction } from "../transaction.js";
import { compareValues, findType, toNumber, type Row, type Value } from "../value.js";
import { readName, readString } from "./ast.js";
import { resolveValue } from "./expression.js";
import { listMatches } from "./lookup.js";
import { isTrue } from "./operator.js";
import { buildProjection, hasAggregate, resolveRow, type Projection } from "./projection.js";
import type { Result } from "./result.js";
import type { Scope, StatementContext } from "./scope.js";

interface Source {
  readonly columns: readonly Column[];
  readonly alias: string;
  list(): readonly Row[];
}

/** Describes the fields that a SELECT returns. */
export function describeSelect(
  select: SelectStmt,
  transaction: Transaction,
  context: StatementContext,
): Projection {
  const { columns } = openSource(select, transaction, context);
  return buildProjection(select.targetList, columns);
}

/** Runs a SELECT over one table, one generated series or no table. */
export function runSelect(
  select: SelectStmt,
  transaction: Transaction,
  context: StatementContext,
): Result {
  checkSupported(select);
  const source = openSource(select, transaction, context);
  const projection = buildProjection(select.targetList, source.columns);
  const base: Scope = { context, columns: source.columns, alias: source.alias, row: [] };
  const scopes = buildScopes(select, projection, source.list(), base);
  const listSeries = findSeries(projection);
  const ordered = listSeries === undefined ? orderScopes(select, projection, scopes) : scopes;
  const rows =
    listSeries === undefined
      ? ordered.map((scope) => resolveRow(projection, scope))
      : buildSeries(listSeries, base).map((value): Row => [value]);
  const page = applyLimit(
    select,
    select.distinctClause === undefined ? rows : removeDuplicates(rows),
    base,
  );
  return { fields: projection.fields, rows: page, tag: `SELECT ${page.length}` };
}

function checkSupported(select: SelectStmt): void {
  if (select.op !== undefined && select.op !== "SETOP_NONE")
    throw createUnsupportedError("set operations");
  if (select.withClause !== undefined) throw createUnsupportedError("WITH");
  if (select.havingClause !== undefined) throw createUnsupportedError("HAVING");
  if (select.valuesLists !== undefined) throw createUnsupportedError("VALUES as a query");
}

function openSource(
  select: SelectStmt,
  transaction: Transaction,
  context: StatementContext,
): Source {
  const [from, ...others] = select.fromClause ?? [];
  if (others.length > 0) throw createUnsupportedError("joins");
  if (from === undefined) return { columns: [], alias: "", list: () => [[]] };
  if ("RangeFunction" in from) return openSeries(from.RangeFunction, context, select.whereClause);
  if (!("RangeVar" in from)) throw createUnsupportedError("joins and subqueries");
  const name = from.RangeVar.relname ?? "";
  const alias = from.RangeVar.alias?.aliasname ?? name;
  const view = transaction.get(name);
  const list = () => {
    const found = listMatches(view, select.whereClause, context, alias);
    if (select.lockingClause !== undefined) for (const [id] of found) view.lockRow(id);
    return found.map(([, row]) => row);
  };
  return { columns: view.definition.columns, alias, list };
}

function openSeries(
  range: RangeFunction,
  context: StatementContext,
  condition: Node | undefined,
): Source {
  const [list] = range.functions ?? [];
  const [call] = list !== undefined && "List" in list ? (list.List.items ?? []) : [];
  if (call === undefined || !("FuncCall" in call))
    throw createUnsupportedError("functions in FROM");
  const alias = range.alias?.aliasname ?? readName(call.FuncCall.funcname);
  const named = readString(range.alias?.colnames?.[0]);
  const name = named === "" ? alias : named;
  const columns = [{ name, type: findType("int4"), isRequired: true }];
  const scope: Scope = { context, columns, alias, row: [] };
  const isWanted = (row: Row) =>
    condition === undefined || isTrue(resolveValue(condition, { ...scope, row }));
  const listSeriesRows = () => buildSeries(call.FuncCall, scope).map((value): Row => [value]);
  return { columns, alias, list: () => listSeriesRows().filter(isWanted) };
}

function buildSeries(call: FuncCall, scope: Scope): readonly Value[] {
  if (readName(call.funcname) !== "generate_series")
    throw createUnsupportedError("this function in FROM");
  const [from = 1, to = 0, step = 1] = (call.args ?? []).map((a) =>
    toNumber(resolveValue(a, scope) ?? 0),
  );
  const count = step === 0 ? 0 : Math.max(0, Math.floor((to - from) / step) + 1);
  return Array.from({ length: count }, (_, i) => from + i * step);
}

function findSeries(projection: Projection): FuncCall | undefined {
  const [only] = projection.expressions;
  if (only === undefined || !("FuncCall" in only)) return undefined;
  return readName(only.FuncCall.funcname) === "generate_series" ? only.FuncCall : undefined;
}

function buildScopes(
  select: SelectStmt,
  projection: Projection,
  rows: readonly Row[],
  base: Scope,
): readonly Scope[] {
  const keys = select.groupClause ?? [];
  if (keys.length === 0) {
    if (!hasAggregate(projection)) return rows.map((row) => ({ ...base, row }));
    return [{ ...base, row: rows[0] ?? [], group: rows }];
  }
  const groups = new Map<string, Row[]>();
  for (const row of rows) {
    const key = JSON.stringify(keys.map((k) => resolveValue(k, { ...base, row })));
    groups.set(key, [...(groups.get(key) ?? []), row]);
  }
  return [...groups.values()].map((group) => ({ ...base, row: group[0] ?? [], group }));
}

function orderScopes(
  select: SelectStmt,
  projection: Projection,
  scopes: readonly Scope[],
): readonly Scope[] {
  const sorts = (select.sortClause ?? []).flatMap((n) => ("SortBy" in n ? [n.SortBy] : []));
  if (sorts.length === 0) return scopes;
  const keyed = scopes.map((scope) => ({
    scope,
    keys: sorts.map((s) => resolveValue(findSortKey(s.node, projection), scope)),
  }));
  keyed.sort((a, b) => compareKeys(sorts, a.keys, b.keys));
  return keyed.map((k) => k.scope);
}

/** Resolves a sort key, which may be an expression, or a result column's number or name. */
function findSortKey(node: Node | undefined, projection: Projection): Node | undefined {
  if (node !== undefined && "A_Const" in node) {
    return projection.expressions[(node.A_Const.ival?.ival ?? 0) - 1];
  }
  if (node !== undefined && "ColumnRef" in node && node.ColumnRef.fields?.length === 1) {
    const position = projection.fields.findIndex((f) => f.name === readName(node.ColumnRef.fields));
    return projection.expressions[position] ?? node;
  }
  return node;
}

function compareKeys(sorts: readonly SortBy[], a: readonly Value[], b: readonly Value[]): number {
  for (const [i, sort] of sorts.entries()) {
    const order = compareWithNulls(a[i] ?? null, b[i] ?? null);
    if (order !== 0) return sort.sortby_dir === "SORTBY_DESC" ? -order : order;
  }
  return 0;
}

function compareWithNulls(a: Value, b: Value): number {
  if (a === null || b === null) return Number(a === null) - Number(b === null);
  return compareValues(a, b);
}

function removeDuplicates(rows: readonly Row[]): readonly Row[] {
  return [...new Map(rows.map((row) => [JSON.stringify(row), row])).values()];
}

function applyLimit(select: SelectStmt, rows: readonly Row[], scope: Scope): readonly Row[] {
  const offset = toNumber(resolveValue(select.limitOffset, scope) ?? 0);
  const limit = resolveValue(select.limitCount, scope);
  return rows.slice(offset, limit === null ? undefined : offset + toNumber(limit));
}
