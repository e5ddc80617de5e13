import { loadModule, parseSync } from "libpg-query";

/** A node of PostgreSQL's parse tree, as the parser returns it. */
export type TreeNode = Readonly<Record<string, unknown>>;

/** A parsed statement: the type name of its root node, such as `SelectStmt`, and the node. */
export interface ParsedStatement {
  readonly nodeType: string;
  readonly node: TreeNode;
}

/** Longer texts are not parsed: parsing megabytes would block all other callers. */
const maxParsedLength = 256 * 1024;

let loading: Promise<void> | undefined;

/** Loads the parser. All other functions of this folder are synchronous and need it loaded. */
export function loadParser(): Promise<void> {
  loading ??= loadModule();
  return loading;
}

/** Parses `text` into its statements; `undefined` if it can't be parsed or is too long. */
export function parseStatements(text: string): readonly ParsedStatement[] | undefined {
  if (text.length > maxParsedLength) return undefined;
  if (text.trim() === "") return [];
  try {
    const result: unknown = parseSync(text);
    return listStatements(result);
  } catch {
    return undefined;
  }
}

/** Whether a value in the tree is a node rather than a list or a scalar. */
export function isNode(value: unknown): value is TreeNode {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Returns the child node under `key`; `undefined` if there is none. */
export function getChild(node: TreeNode, key: string): TreeNode | undefined {
  const child = node[key];
  return isNode(child) ? child : undefined;
}

/** Returns the string under `key`; `undefined` if there is none. */
export function getText(node: TreeNode, key: string): string | undefined {
  const value = node[key];
  return typeof value === "string" ? value : undefined;
}

/** Returns the list under `key`; empty if there is none. */
export function getList(node: TreeNode, key: string): readonly unknown[] {
  const value = node[key];
  return Array.isArray(value) ? value : [];
}

function listStatements(result: unknown): readonly ParsedStatement[] {
  if (!isNode(result)) return [];
  return getList(result, "stmts").flatMap((entry) => {
    const wrapped = isNode(entry) ? getChild(entry, "stmt") : undefined;
    if (wrapped === undefined) return [];
    return Object.entries(wrapped).flatMap(([nodeType, node]) =>
      isNode(node) ? [{ nodeType, node }] : [],
    );
  });
}
