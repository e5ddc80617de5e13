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

/** What a walk over a statement's tree finds. */
export interface Findings {
  readonly effect: Effect;
  readonly tables: readonly string[];
  /** A function whose effect outlives the transaction on its connection. */
  readonly sessionFunction?: string;
}

const writingNodes = new Set(["InsertStmt", "UpdateStmt", "DeleteStmt", "MergeStmt"]);
const writingKeys = new Set(["intoClause", "lockingClause"]);
const readingStatements = new Set([
  "SelectStmt",
  "VariableShowStmt",
  "FetchStmt",
  "ClosePortalStmt",
  "DeclareCursorStmt",
]);

/** Finds effect and tables of one statement. What isn't known to read writes. */
export function findEffect(statement: ParsedStatement): Findings {
  const walk = new Walk();
  walk.visit(statement.name, statement.node);
  return {
    effect: canRead(statement) && !walk.writes ? "read" : "write",
    tables: walk.listTables(),
    ...(walk.sessionFunction === undefined ? {} : { sessionFunction: walk.sessionFunction }),
  };
}

class Walk {
  writes = false;
  sessionFunction: string | undefined;
  private readonly tables = new Set<string>();
  private readonly withNames = new Set<string>();

  visit(key: string, value: unknown): void {
    if (Array.isArray(value)) {
      for (const entry of value) this.visit(key, entry);
      return;
    }
    if (!isNode(value)) return;
    this.note(key, value);
    for (const [childKey, child] of Object.entries(value)) {
      if (writingKeys.has(childKey)) this.writes = true;
      this.visit(childKey, child);
    }
  }

  listTables(): readonly string[] {
    return [...this.tables].filter((table) => !this.withNames.has(table));
  }

  private note(key: string, node: TreeNode): void {
    if (writingNodes.has(key)) this.writes = true;
    const relation = getText(node, "relname");
    if (relation !== undefined) this.tables.add(nameTable(node, relation));
    const withName = getText(node, "ctename");
    if (withName !== undefined) this.withNames.add(withName);
    if (key === "FuncCall") this.noteFunction(node);
  }

  private noteFunction(node: TreeNode): void {
    const path = getList(node, "funcname").map(readName);
    const name = path.at(-1) ?? "";
    const isBuiltIn = path.length === 1 || path[0] === "pg_catalog";
    if (!isBuiltIn || !readOnlyFunctions.has(name)) this.writes = true;
    if (isBuiltIn && sessionFunctions.has(name)) this.sessionFunction = name;
  }
}

function readName(part: unknown): string {
  const text = isNode(part) ? getChild(part, "String") : undefined;
  return text === undefined ? "" : (getText(text, "sval") ?? "");
}

function nameTable(node: TreeNode, relation: string): string {
  const schema = getText(node, "schemaname");
  return schema === undefined || schema === "public" ? relation : `${schema}.${relation}`;
}

function canRead({ name, node }: ParsedStatement): boolean {
  if (name !== "ExplainStmt") return readingStatements.has(name);
  return !getList(node, "options").some((option) => {
    const element = isNode(option) ? getChild(option, "DefElem") : undefined;
    return element !== undefined && getText(element, "defname") === "analyze";
  });
}
