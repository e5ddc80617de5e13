export {
  type CommandResult,
  type TargetCommand,
  type TargetLink,
  type TargetReport,
} from "./command.js";
export {
  completeLocally,
  type ReplyEnd,
  type ErrorCode,
  failLocally,
  isErrorCode,
  isNotRun,
  proxySignature,
  type Reply,
  type SessionState,
} from "./reply.js";
export { findEffect, type PreparedDefinition, type Statement, type Work } from "./statement.js";
