import type { FuncCall, Node } from "libpg-query";
import { createUnsupportedError } from "../error.js";
import type { Transaction } from "../transaction.js";
import { readName } from "./ast.js";
import { runCreate, runDrop } from "./define.js";
import { resolveValue } from "./expression.js";
import { runDelete, runInsert, runUpdate } from "./modify.js";
import { buildProjection, type Field } from "./projection.js";
import type { Result } from "./result.js";
import type { StatementContext } from "./scope.js";
import { describeSelect, runSelect } from "./select.js";

/** Runs one data statement within a transaction. */
export function runStatement(
  node: Node,
  transaction: Transaction,
  context: StatementContext,
): Result {
  if ("SelectStmt" in node) return runSelect(node.SelectStmt, transaction, context);
  if ("InsertStmt" in node) return runInsert(node.InsertStmt, transaction, context);
  if ("UpdateStmt" in node) return runUpdate(node.UpdateStmt, transaction, context);
  if ("DeleteStmt" in node) return runDelete(node.DeleteStmt, transaction, context);
  if ("CreateStmt" in node) return runCreate(node.CreateStmt, transaction);
  if ("DropStmt" in node) return runDrop(node.DropStmt, transaction);
  throw createUnsupportedError(`statements of type ${Object.keys(node).join()}`);
}

/** Whether a statement may change data: everything but a SELECT without a locking clause. */
export function isWrite(node: Node): boolean {
  return !("SelectStmt" in node) || node.SelectStmt.lockingClause !== undefined;
}

/** Describes a statement's result without running it; undefined if it returns no rows. */
export function describeStatement(
  node: Node,
  transaction: Transaction,
  context: StatementContext,
): readonly Field[] | undefined {
  if ("SelectStmt" in node) return describeSelect(node.SelectStmt, transaction, context).fields;
  const change = findReturning(node);
  if (change?.returning === undefined) return undefined;
  const { columns } = transaction.get(change.table).definition;
  return buildProjection(change.returning, columns).fields;
}

function findReturning(node: Node) {
  const change =
    "InsertStmt" in node
      ? node.InsertStmt
      : "UpdateStmt" in node
        ? node.UpdateStmt
        : "DeleteStmt" in node
          ? node.DeleteStmt
          : undefined;
  if (change === undefined) return undefined;
  return { table: change.relation?.relname ?? "", returning: change.returningClause?.exprs };
}

/** Finds the single function call of a SELECT without FROM, such as a control function's. */
export function findCall(node: Node): FuncCall | undefined {
  if (!("SelectStmt" in node) || node.SelectStmt.fromClause !== undefined) return undefined;
  const [target] = node.SelectStmt.targetList ?? [];
  const value = target !== undefined && "ResTarget" in target ? target.ResTarget.val : undefined;
  return value !== undefined && "FuncCall" in value ? value.FuncCall : undefined;
}

/** Returns how long a statement's `pg_sleep` takes, in milliseconds; 0 without one. */
export function getSleepMs(node: Node, context: StatementContext): number {
  const call = findCall(node);
  if (call === undefined || readName(call.funcname) !== "pg_sleep") return 0;
  const seconds = resolveValue(call.args?.[0], { context, columns: [], alias: "", row: [] });
  return Number(seconds ?? 0) * 1000;
}
