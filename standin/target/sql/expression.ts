import type { A_Const, A_Expr, BoolExpr, CaseExpr, FuncCall, Node, NullTest } from "libpg-query";
import { createUnsupportedError, SqlError } from "../error.js";
import { castValue, type Value } from "../value.js";
import { readName, readString, readType } from "./ast.js";
import { isAggregate, runAggregate, runFunction } from "./function.js";
import { applyOperator, isMatch, isTrue } from "./operator.js";
import { readColumn, type Scope } from "./scope.js";

/** Evaluates an expression for one row or group. */
export function resolveValue(node: Node | undefined, scope: Scope): Value {
  if (node === undefined) return null;
  if ("A_Const" in node) return readConstant(node.A_Const);
  if ("ParamRef" in node) return readParameter(node.ParamRef.number ?? 0, scope);
  if ("ColumnRef" in node) return readColumn(scope, (node.ColumnRef.fields ?? []).map(readString));
  if ("TypeCast" in node) {
    return castValue(resolveValue(node.TypeCast.arg, scope), readType(node.TypeCast.typeName));
  }
  if ("A_Expr" in node) return resolveOperator(node.A_Expr, scope);
  if ("BoolExpr" in node) return resolveLogic(node.BoolExpr, scope);
  if ("NullTest" in node) return resolveNullTest(node.NullTest, scope);
  if ("FuncCall" in node) return resolveCall(node.FuncCall, scope);
  if ("CoalesceExpr" in node) {
    const args = node.CoalesceExpr.args ?? [];
    return args.map((a) => resolveValue(a, scope)).find((v) => v !== null) ?? null;
  }
  if ("MinMaxExpr" in node) {
    const name = node.MinMaxExpr.op === "IS_LEAST" ? "min" : "max";
    return runAggregate(name, resolveAll(node.MinMaxExpr.args, scope));
  }
  if ("CaseExpr" in node) return resolveCase(node.CaseExpr, scope);
  if ("SQLValueFunction" in node) return scope.context.now;
  throw createUnsupportedError(`expressions of type ${Object.keys(node).join()}`);
}

function resolveAll(nodes: readonly Node[] | undefined, scope: Scope): readonly Value[] {
  return (nodes ?? []).map((n) => resolveValue(n, scope));
}

function readConstant(constant: A_Const): Value {
  if (constant.isnull === true) return null;
  if (constant.ival !== undefined) return constant.ival.ival ?? 0;
  if (constant.fval !== undefined) return Number(constant.fval.fval ?? 0);
  if (constant.boolval !== undefined) return constant.boolval.boolval ?? false;
  return constant.sval?.sval ?? "";
}

function readParameter(number: number, scope: Scope): Value {
  const value = scope.context.parameters[number - 1];
  if (value === undefined) throw new SqlError("42P02", `there is no parameter $${number}`);
  return value;
}

function resolveOperator(expression: A_Expr, scope: Scope): Value {
  const name = readName(expression.name);
  const left = expression.lexpr === undefined ? 0 : resolveValue(expression.lexpr, scope);
  const resolveRight = (): Value => resolveValue(expression.rexpr, scope);
  const { kind } = expression;
  if (kind === "AEXPR_OP") return applyOperator(name, left, resolveRight());
  if (kind === "AEXPR_IN") {
    return resolveMembership(left, listItems(expression.rexpr), name === "=", scope);
  }
  if (kind === "AEXPR_OP_ANY") return resolveAny(left, resolveRight(), name);
  if (kind === "AEXPR_BETWEEN") return resolveRange(left, listItems(expression.rexpr), scope);
  if (kind === "AEXPR_LIKE" || kind === "AEXPR_ILIKE") return isMatch(left, resolveRight(), name);
  if (kind === "AEXPR_DISTINCT") return left !== resolveRight();
  if (kind === "AEXPR_NOT_DISTINCT") return left === resolveRight();
  throw createUnsupportedError(`operators of kind ${kind ?? "unknown"}`);
}

function resolveRange(left: Value, bounds: readonly Node[], scope: Scope): Value {
  const [low, high] = resolveAll(bounds, scope);
  const isAbove = applyOperator(">=", left, low ?? null);
  return isAbove === true ? applyOperator("<=", left, high ?? null) : isAbove;
}

function listItems(node: Node | undefined): readonly Node[] {
  return node !== undefined && "List" in node ? (node.List.items ?? []) : [];
}

function resolveMembership(
  left: Value,
  items: readonly Node[],
  isWanted: boolean,
  scope: Scope,
): Value {
  const results = items.map((item) => applyOperator("=", left, resolveValue(item, scope)));
  if (results.includes(true)) return isWanted;
  return results.includes(null) ? null : !isWanted;
}

/** Evaluates `= ANY($1)` over an array in text format, as client libraries send it. */
function resolveAny(left: Value, array: Value, name: string): Value {
  if (array === null) return null;
  const body = String(array).replace(/^\{|\}$/g, "");
  const items = body === "" ? [] : body.split(",").map((item) => item.replace(/^"|"$/g, ""));
  return items.some((item) => applyOperator(name, left, item) === true);
}

function resolveLogic(expression: BoolExpr, scope: Scope): Value {
  const args = expression.args ?? [];
  if (expression.boolop === "NOT_EXPR") {
    const value = resolveValue(args[0], scope);
    return value === null ? null : !isTrue(value);
  }
  const decidingValue = expression.boolop === "OR_EXPR";
  let result: Value = !decidingValue;
  for (const arg of args) {
    const value = resolveValue(arg, scope);
    if (value === null) result = null;
    else if (isTrue(value) === decidingValue) return decidingValue;
  }
  return result;
}

function resolveNullTest(test: NullTest, scope: Scope): Value {
  const isNull = resolveValue(test.arg, scope) === null;
  return test.nulltesttype === "IS_NULL" ? isNull : !isNull;
}

function resolveCase(expression: CaseExpr, scope: Scope): Value {
  const subject = expression.arg === undefined ? undefined : resolveValue(expression.arg, scope);
  for (const branch of expression.args ?? []) {
    if (!("CaseWhen" in branch)) continue;
    const test = resolveValue(branch.CaseWhen.expr, scope);
    const isMet = subject === undefined ? isTrue(test) : applyOperator("=", subject, test) === true;
    if (isMet) return resolveValue(branch.CaseWhen.result, scope);
  }
  return resolveValue(expression.defresult, scope);
}

function resolveCall(call: FuncCall, scope: Scope): Value {
  const name = readName(call.funcname);
  const { group } = scope;
  if (!isAggregate(name)) return runFunction(name, resolveAll(call.args, scope), scope.context);
  if (group === undefined) throw new SqlError("42803", `aggregate ${name} is not allowed here`);
  if (call.agg_star === true) return group.length;
  return runAggregate(
    name,
    group.map((row) => resolveValue(call.args?.[0], { ...scope, row })),
  );
}
