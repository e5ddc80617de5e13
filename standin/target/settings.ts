import type { Node } from "libpg-query";
import { resolveValue, type Result, type StatementContext } from "./sql/index.js";
import { findType, formatValue } from "./value.js";

const initialValues: Readonly<Record<string, string>> = {
  server_version: "17.0",
  transaction_isolation: "read committed",
  client_encoding: "UTF8",
  standard_conforming_strings: "on",
};

/** The settings of one connection. Any name can be set; none affects the stand-in's behaviour. */
export class SessionSettings {
  private readonly values = new Map(Object.entries(initialValues));

  /** Executes SET, RESET, SHOW and DISCARD; undefined for any other statement. */
  run(node: Node, context: StatementContext): Result | undefined {
    if ("VariableShowStmt" in node) return this.read(node.VariableShowStmt.name ?? "");
    if ("DiscardStmt" in node) return { rows: [], tag: "DISCARD ALL" };
    if (!("VariableSetStmt" in node)) return undefined;
    const { name = "", args = [] } = node.VariableSetStmt;
    const scope = { context, columns: [], alias: "", row: [] };
    const value = args[0] === undefined ? null : resolveValue(args[0], scope);
    if (value === null) this.values.delete(name);
    else this.values.set(name, formatValue(value));
    return { rows: [], tag: args.length === 0 ? "RESET" : "SET" };
  }

  private read(name: string): Result {
    const fields = [{ name, type: findType("text") }];
    return { fields, rows: [[this.values.get(name) ?? ""]], tag: "SHOW" };
  }
}
