export { collectEvents, eventCategories, loadEvents, renderCatalogue } from "./catalogue.js";
export { RateLimitedLogger } from "./rate-limited.js";
export { type Level, type LogEvent, type LogFields, type Logger, silentLogger } from "./event.js";
export { type LogDestination, PinoLogger, type PinoLoggerOptions } from "./pino.js";
