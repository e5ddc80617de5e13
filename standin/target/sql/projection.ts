import type { Node, ResTarget } from "libpg-query";
import type { Column } from "../table.js";
import { findType, type DataType, type Row } from "../value.js";
import { readName, readString, readType } from "./ast.js";
import { resolveValue } from "./expression.js";
import { isAggregate } from "./function.js";
import { findColumn, type Scope } from "./scope.js";

/** One column of a result. */
export interface Field {
  readonly name: string;
  readonly type: DataType;
}

/** The fields that a target list yields, and the expression of each. */
export interface Projection {
  readonly fields: readonly Field[];
  readonly expressions: readonly Node[];
}

/** Builds the projection of a target list over a table's columns. */
export function buildProjection(
  targets: readonly Node[] | undefined,
  columns: readonly Column[],
): Projection {
  const parts = (targets ?? []).flatMap((node) =>
    "ResTarget" in node ? buildTargets(node.ResTarget, columns) : [],
  );
  return { fields: parts.map((p) => p.field), expressions: parts.map((p) => p.expression) };
}

function buildTargets(target: ResTarget, columns: readonly Column[]) {
  const { val } = target;
  if (val === undefined) return [];
  if (isStar(val)) {
    return columns.map(({ name, type }) => ({ field: { name, type }, expression: makeRef(name) }));
  }
  const name = target.name ?? findName(val);
  return [{ field: { name, type: resolveType(val, columns) }, expression: val }];
}

function isStar(node: Node): boolean {
  const last = "ColumnRef" in node ? node.ColumnRef.fields?.at(-1) : undefined;
  return last !== undefined && "A_Star" in last;
}

function makeRef(name: string): Node {
  return { ColumnRef: { fields: [{ String: { sval: name } }] } };
}

function findName(node: Node): string {
  if ("ColumnRef" in node) return readName(node.ColumnRef.fields);
  if ("FuncCall" in node) return readName(node.FuncCall.funcname);
  if ("TypeCast" in node && node.TypeCast.arg !== undefined) {
    const inner = findName(node.TypeCast.arg);
    return inner === "?column?" ? readName(node.TypeCast.typeName?.names) : inner;
  }
  if ("CoalesceExpr" in node) return "coalesce";
  return "CaseExpr" in node ? "case" : "?column?";
}

const callTypes: Readonly<Record<string, string>> = {
  count: "int8",
  sum: "int8",
  avg: "numeric",
  length: "int4",
  generate_series: "int4",
  now: "timestamptz",
  random: "float8",
  pg_sleep: "void",
  pg_is_in_recovery: "bool",
};

/** Infers the type of an expression's values; text where it is unknown. */
export function resolveType(node: Node | undefined, columns: readonly Column[]): DataType {
  if (node === undefined) return findType("text");
  if ("ColumnRef" in node) {
    const name = readString(node.ColumnRef.fields?.at(-1));
    return columns[findColumn(columns, name)]?.type ?? findType("text");
  }
  if ("TypeCast" in node) return readType(node.TypeCast.typeName);
  if ("A_Const" in node) return findType(resolveConstantType(node.A_Const));
  if ("BoolExpr" in node || "NullTest" in node) return findType("bool");
  if ("CoalesceExpr" in node) return resolveType(node.CoalesceExpr.args?.[0], columns);
  if ("SQLValueFunction" in node) return findType("timestamptz");
  if ("FuncCall" in node) {
    const name = readName(node.FuncCall.funcname);
    if (name === "min" || name === "max") return resolveType(node.FuncCall.args?.[0], columns);
    return findType(callTypes[name] ?? "text");
  }
  if ("A_Expr" in node) {
    const name = readName(node.A_Expr.name);
    if (["+", "-", "*", "/", "%"].includes(name)) {
      return resolveType(node.A_Expr.lexpr ?? node.A_Expr.rexpr, columns);
    }
    return findType(name === "||" ? "text" : "bool");
  }
  return findType("text");
}

function resolveConstantType(constant: object): string {
  if ("ival" in constant) return "int4";
  if ("fval" in constant) return "numeric";
  return "boolval" in constant ? "bool" : "text";
}

/** Computes one row of the result. */
export function resolveRow(projection: Projection, scope: Scope): Row {
  return projection.expressions.map((e) => resolveValue(e, scope));
}

/** Whether any of the expressions is an aggregate call. */
export function hasAggregate(projection: Projection): boolean {
  return projection.expressions.some(isAggregateCall);
}

function isAggregateCall(node: Node): boolean {
  if ("TypeCast" in node)
    return node.TypeCast.arg !== undefined && isAggregateCall(node.TypeCast.arg);
  if ("CoalesceExpr" in node) return (node.CoalesceExpr.args ?? []).some(isAggregateCall);
  if ("A_Expr" in node) {
    return [node.A_Expr.lexpr, node.A_Expr.rexpr].some(
      (n) => n !== undefined && isAggregateCall(n),
    );
  }
  return "FuncCall" in node && isAggregate(readName(node.FuncCall.funcname));
}
