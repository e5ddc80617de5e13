export { collectEvents, eventParts, loadEvents, renderCatalogue } from "./catalogue.js";
export { BoundedLogger } from "./bounded.js";
export { type Level, type LogEvent, type LogFields, type Logger, silentLogger } from "./event.js";
export { type LogDestination, PinoLogger, type PinoLoggerOptions } from "./pino.js";
