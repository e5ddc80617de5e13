import type { Node } from "libpg-query";
import { encodeKey } from "../table.js";
import type { TableView } from "../view.js";
import { castValue, type Row, type Value } from "../value.js";
import { readName, readString } from "./ast.js";
import { resolveValue } from "./expression.js";
import { isTrue } from "./operator.js";
import type { Scope, StatementContext } from "./scope.js";

/** A row that matches a condition, with its id. */
export type MatchedRow = readonly [id: number, row: Row];

/** Lists the rows that meet a condition, using a unique index where the condition allows it. */
export function listMatches(
  view: TableView,
  condition: Node | undefined,
  context: StatementContext,
  alias: string,
): readonly MatchedRow[] {
  const scope: Scope = { context, columns: view.definition.columns, alias, row: [] };
  const candidates = findByKey(view, condition, scope) ?? view.list();
  const found: MatchedRow[] = [];
  for (const [id, row] of candidates) {
    if (condition === undefined || isTrue(resolveValue(condition, { ...scope, row }))) {
      found.push([id, row]);
    }
  }
  return found;
}

function findByKey(
  view: TableView,
  condition: Node | undefined,
  scope: Scope,
): readonly MatchedRow[] | undefined {
  if (condition === undefined) return undefined;
  const equals = new Map<string, Node>();
  collectEquals(condition, equals);
  const { columns, uniques } = view.definition;
  const position = uniques.findIndex((u) =>
    u.columns.every((c) => equals.has(columns[c]?.name ?? "")),
  );
  const unique = uniques[position];
  if (unique === undefined) return undefined;
  const values = unique.columns.map((c): Value => {
    const column = columns[c];
    if (column === undefined) return null;
    return castValue(resolveValue(equals.get(column.name), scope), column.type);
  });
  if (values.includes(null)) return [];
  const id = view.findId(position, encodeKey(values));
  const row = id === undefined ? undefined : view.get(id);
  return id === undefined || row === undefined ? [] : [[id, row]];
}

/** Collects the conjuncts of the form `column = constant`. */
function collectEquals(node: Node, equals: Map<string, Node>): void {
  if ("BoolExpr" in node && node.BoolExpr.boolop === "AND_EXPR") {
    for (const arg of node.BoolExpr.args ?? []) collectEquals(arg, equals);
  }
  if (!("A_Expr" in node) || node.A_Expr.kind !== "AEXPR_OP") return;
  const { lexpr, rexpr } = node.A_Expr;
  if (readName(node.A_Expr.name) !== "=" || lexpr === undefined || rexpr === undefined) return;
  if ("ColumnRef" in lexpr && isConstant(rexpr)) {
    equals.set(readString(lexpr.ColumnRef.fields?.at(-1)), rexpr);
  }
}

function isConstant(node: Node): boolean {
  if ("TypeCast" in node) return node.TypeCast.arg !== undefined && isConstant(node.TypeCast.arg);
  return "A_Const" in node || "ParamRef" in node;
}
