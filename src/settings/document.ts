import { isMap, isNode, isScalar, isSeq, LineCounter, parseDocument, type Document } from "yaml";
import type { SettingsFault } from "./fault.js";

/** The keys and indices from a document's root to a value. */
export type Path = readonly (string | number)[];

/** A parsed YAML document that knows the position of each value in its text. */
export interface SettingsDocument {
  readonly value: unknown;
  /** Syntax errors of the YAML text; `value` is `undefined` if there are any. */
  readonly faults: readonly SettingsFault[];
  /**
   * Creates a fault with the position of the value at `path`, or of its key. If the document has no
   * such value, the position is that of its closest existing parent.
   */
  createFault(path: Path, message: string, at?: "key" | "value"): SettingsFault;
}

/** Parses a YAML text. `source` is the file name that its faults give. */
export function parseSettingsDocument(text: string, source: string): SettingsDocument {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines, prettyErrors: false });
  const describe = (offset: number, path: Path, message: string): SettingsFault => {
    const { line, col } = lines.linePos(offset);
    return { source, line: Math.max(1, line), column: col, path: formatPath(path), message };
  };
  const faults = document.errors.map((error) => describe(error.pos[0], [], error.message));
  return {
    value: faults.length === 0 ? (document.toJS() as unknown) : undefined,
    faults,
    createFault: (path, message, at = "value") =>
      describe(findOffset(document, path, at), path, message),
  };
}

function findOffset(document: Document, path: Path, at: "key" | "value"): number {
  let node: unknown = document.contents;
  let offset = getStartOffset(node) ?? 0;
  for (const [depth, segment] of path.entries()) {
    const isLast = depth === path.length - 1;
    if (isMap(node)) {
      const pair = node.items.find((item) => isScalar(item.key) && item.key.value === segment);
      if (pair === undefined) return offset;
      const key = getStartOffset(pair.key) ?? offset;
      offset = isLast && at === "key" ? key : (getStartOffset(pair.value) ?? key);
      node = pair.value;
    } else if (isSeq(node)) {
      node = node.items[Number(segment)];
      offset = getStartOffset(node) ?? offset;
    }
  }
  return offset;
}

function getStartOffset(node: unknown): number | undefined {
  return isNode(node) ? node.range?.[0] : undefined;
}

function formatPath(path: Path): string {
  return path
    .map((segment, i) =>
      typeof segment === "number" ? `[${segment}]` : i === 0 ? segment : `.${segment}`,
    )
    .join("");
}
