import { loadModule, parseSync } from "libpg-query";

/** A node of PostgreSQL's parse tree, as the parser hands it over. */
export type TreeNode = Readonly<Record<string, unknown>>;

/** One parsed statement: the name of its node and the node itself. */
export interface ParsedStatement {
  readonly nodeType: string;
  readonly node: TreeNode;
}

/** Longer texts are not parsed; a parser fed megabytes would hold up every other caller. */
const maxParsedLength = 256 * 1024;

let loading: Promise<void> | undefined;

/** Loads the parser. Everything else in this folder is synchronous once it has resolved. */
export function loadParser(): Promise<void> {
  loading ??= loadModule();
  return loading;
}

/** Parses `text` into its statements; `undefined` when it can't be parsed or is too long. */
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

/** Whether a value of the tree is a node, not a list or a plain value. */
export function isNode(value: unknown): value is TreeNode {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** The child node under `key`. */
export function getChild(node: TreeNode, key: string): TreeNode | undefined {
  const child = node[key];
  return isNode(child) ? child : undefined;
}

/** The text under `key`. */
export function getText(node: TreeNode, key: string): string | undefined {
  const value = node[key];
  return typeof value === "string" ? value : undefined;
}

/** The list under `key`, empty where there is none. */
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
