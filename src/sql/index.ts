export { loadParser } from "./parser.js";
export { type StatementKind, settingPrefix } from "./statement.js";
export { type Classification, classifyStatement } from "./classify.js";
export { type TaggedText, parseTags } from "./tags.js";
export { type CacheLimits, LruCache } from "./cache.js";
