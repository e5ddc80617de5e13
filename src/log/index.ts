export { type Level, type LogEvent, type LogFields, type Logger, silentLogger } from "./event.js";
