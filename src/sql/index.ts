export { loadParser } from "./parser.js";
export { type StatementKind, settingPrefix } from "./statement.js";
export { type Classification, classifyStatement } from "./classify.js";
export { type TaggedText, parseTags } from "./tags.js";
export { type CacheBounds, LruCache } from "./cache.js";
