export { loadParser, parseStatements, readName, type Statement } from "./ast.js";
export { describeStatement, findCall, getSleepMs, isWrite, runStatement } from "./engine.js";
export { resolveValue } from "./expression.js";
export { type Field } from "./projection.js";
export { type Result } from "./result.js";
export { type StatementContext } from "./scope.js";
