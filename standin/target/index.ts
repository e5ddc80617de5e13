export { type ControlReply, type FollowedPrimary, Member } from "./member.js";
export { Channel, Faults, Gate, type AnswerLossMode } from "./faults.js";
export { controlDatabase } from "./listener.js";
export { StandinTarget, type StandinTargetOptions } from "./server.js";
export { type ExecutedStatement, type StatementOutcome, StatementHistory } from "./statement.js";
