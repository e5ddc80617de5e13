export { collectEvents, eventParts, loadEvents, renderCatalogue } from "./catalogue.js";
export { type Level, type LogEvent, type LogFields, type Logger, silentLogger } from "./event.js";
export { type LogDestination, PinoLogger, type PinoLoggerOptions } from "./pino.js";
