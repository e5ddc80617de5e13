/** A text split into its statements and the sqlcommenter tags at its end or start. */
export interface TaggedText {
  /** The text without the tags' comment: the same for every value of the tags. */
  readonly statement: string;
  readonly tags: ReadonlyMap<string, string>;
}

const noTags: ReadonlyMap<string, string> = new Map();
const maxCommentLength = 4096;
const pair = /\s*([^=',\s]+)\s*=\s*'((?:[^'\\]|\\.)*)'\s*(,|$)/y;

/**
 * Splits sqlcommenter's comment off a text. Only a comment that stands first or last counts, and
 * only when all of it is well-formed; any other comment stays part of the statement.
 */
export function parseTags(text: string): TaggedText {
  return parseLast(text) ?? parseFirst(text) ?? { statement: text, tags: noTags };
}

function parseLast(text: string): TaggedText | undefined {
  const end = text.trimEnd().replace(/;$/, "").trimEnd();
  if (!end.endsWith("*/")) return undefined;
  const start = end.lastIndexOf("/*", end.length - 4);
  if (start < 0) return undefined;
  const tags = parseComment(end.slice(start + 2, -2));
  return tags === undefined ? undefined : { statement: end.slice(0, start).trim(), tags };
}

function parseFirst(text: string): TaggedText | undefined {
  const begin = text.trimStart();
  if (!begin.startsWith("/*")) return undefined;
  const end = begin.indexOf("*/", 2);
  if (end < 0) return undefined;
  const tags = parseComment(begin.slice(2, end));
  return tags === undefined ? undefined : { statement: begin.slice(end + 2).trim(), tags };
}

function parseComment(comment: string): ReadonlyMap<string, string> | undefined {
  if (comment.length > maxCommentLength || comment.includes("*/")) return undefined;
  const tags = new Map<string, string>();
  pair.lastIndex = 0;
  for (let isLast = false; !isLast;) {
    const match = pair.exec(comment);
    const key = decodePart(match?.[1]);
    const value = decodePart(match?.[2]?.replace(/\\(.)/g, "$1"));
    if (key === undefined || value === undefined) return undefined;
    tags.set(key, value);
    isLast = match?.[3] === "";
  }
  return tags;
}

function decodePart(part: string | undefined): string | undefined {
  if (part === undefined) return undefined;
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}
