import type { Effect } from "../model/index.js";
import { readOnlyFunctions, sessionFunctions } from "./functions.js";
import {
  getChild,
  getList,
  getText,
  isNode,
  type ParsedStatement,
  type TreeNode,
} from "./parser.js";

/** A statement's effect and tables. */
export interface StatementEffect {
  readonly effect: Effect;
  readonly tables: readonly string[];
  /** The name of a called function whose effect on the connection outlasts the transaction. */
  readonly sessionFunction?: string;
}

const writeNodeTypes = new Set(["InsertStmt", "UpdateStmt", "DeleteStmt", "MergeStmt"]);
const writeClauses = new Set(["intoClause", "lockingClause"]);
const readStatementTypes = new Set([
  "SelectStmt",
  "VariableShowStmt",
  "FetchStmt",
  "ClosePortalStmt",
  "DeclareCursorStmt",
]);

/** Finds the effect and tables of one statement, which is a write unless it surely only reads. */
export function findEffect(statement: ParsedStatement): StatementEffect {
  const walker = new TreeWalker();
  walker.visit(statement.nodeType, statement.node);
  return {
    effect: isReadStatement(statement) && !walker.hasWrite ? "read" : "write",
    tables: walker.listTables(),
    ...(walker.sessionFunction === undefined ? {} : { sessionFunction: walker.sessionFunction }),
  };
}

class TreeWalker {
  hasWrite = false;
  sessionFunction: string | undefined;
  private readonly tables = new Set<string>();
  private readonly cteNames = new Set<string>();

  visit(key: string, value: unknown): void {
    if (Array.isArray(value)) {
      for (const entry of value) this.visit(key, entry);
      return;
    }
    if (!isNode(value)) return;
    this.inspectNode(key, value);
    for (const [childKey, child] of Object.entries(value)) {
      if (writeClauses.has(childKey)) this.hasWrite = true;
      this.visit(childKey, child);
    }
  }

  listTables(): readonly string[] {
    return [...this.tables].filter((table) => !this.cteNames.has(table));
  }

  private inspectNode(key: string, node: TreeNode): void {
    if (writeNodeTypes.has(key)) this.hasWrite = true;
    const relation = getText(node, "relname");
    if (relation !== undefined) this.tables.add(formatTableName(node, relation));
    const cteName = getText(node, "ctename");
    if (cteName !== undefined) this.cteNames.add(cteName);
    if (key === "FuncCall") this.inspectFunction(node);
  }

  private inspectFunction(node: TreeNode): void {
    const path = getList(node, "funcname").map(readName);
    const name = path.at(-1) ?? "";
    const isBuiltIn = path.length === 1 || path[0] === "pg_catalog";
    if (!isBuiltIn || !readOnlyFunctions.has(name)) this.hasWrite = true;
    if (isBuiltIn && sessionFunctions.has(name)) this.sessionFunction = name;
  }
}

function readName(part: unknown): string {
  const text = isNode(part) ? getChild(part, "String") : undefined;
  return text === undefined ? "" : (getText(text, "sval") ?? "");
}

function formatTableName(node: TreeNode, relation: string): string {
  const schema = getText(node, "schemaname");
  return schema === undefined || schema === "public" ? relation : `${schema}.${relation}`;
}

function isReadStatement({ nodeType, node }: ParsedStatement): boolean {
  if (nodeType !== "ExplainStmt") return readStatementTypes.has(nodeType);
  return !getList(node, "options").some((option) => {
    const element = isNode(option) ? getChild(option, "DefElem") : undefined;
    return element !== undefined && getText(element, "defname") === "analyze";
  });
}
