export { type ControlReply, type Following, Member } from "./member.js";
export { Channel, Faults, Gate, type LostAnswer } from "./faults.js";
export { controlDatabase } from "./listener.js";
export { StandinTarget, type StandinTargetOptions } from "./server.js";
export { type RunStatement, type StatementFate, StatementRecord } from "./statement.js";
