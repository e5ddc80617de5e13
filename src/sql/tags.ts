/** An SQL text without its sqlcommenter comment, and the tags of that comment. */
export interface TaggedText {
  /** The text without the comment, which is the same for all values of the tags. */
  readonly statement: string;
  readonly tags: ReadonlyMap<string, string>;
}

const noTags: ReadonlyMap<string, string> = new Map();
const maxCommentLength = 4096;
const tagPattern = /\s*([^=',\s]+)\s*=\s*'((?:[^'\\]|\\.)*)'\s*(,|$)/y;

/**
 * Separates an sqlcommenter comment from a text. The comment must be at the end or the start of the
 * text and entirely well-formed; any other comment remains part of the statement.
 */
export function parseTags(text: string): TaggedText {
  return parseTrailingTags(text) ?? parseLeadingTags(text) ?? { statement: text, tags: noTags };
}

function parseTrailingTags(text: string): TaggedText | undefined {
  const trimmed = text.trimEnd().replace(/;$/, "").trimEnd();
  if (!trimmed.endsWith("*/")) return undefined;
  const start = trimmed.lastIndexOf("/*", trimmed.length - 4);
  if (start < 0) return undefined;
  const tags = parseComment(trimmed.slice(start + 2, -2));
  return tags === undefined ? undefined : { statement: trimmed.slice(0, start).trim(), tags };
}

function parseLeadingTags(text: string): TaggedText | undefined {
  const trimmed = text.trimStart();
  if (!trimmed.startsWith("/*")) return undefined;
  const end = trimmed.indexOf("*/", 2);
  if (end < 0) return undefined;
  const tags = parseComment(trimmed.slice(2, end));
  return tags === undefined ? undefined : { statement: trimmed.slice(end + 2).trim(), tags };
}

function parseComment(comment: string): ReadonlyMap<string, string> | undefined {
  if (comment.length > maxCommentLength || comment.includes("*/")) return undefined;
  const tags = new Map<string, string>();
  tagPattern.lastIndex = 0;
  for (let isLast = false; !isLast;) {
    const match = tagPattern.exec(comment);
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
