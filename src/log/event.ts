/** The severity of an event, as pino names it. */
export type Level = "debug" | "info" | "warn" | "error";

/** A kind of log line with a unique number. Numbers are never reused for another meaning. */
export interface LogEvent {
  readonly id: number;
  readonly name: string;
  readonly level: Level;
  /** A sentence on what happened, for readers of the log and of `docs/EVENTS.md`. */
  readonly text: string;
}

/** Additional fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes log events. */
export interface Logger {
  write(event: LogEvent, fields?: LogFields): void;
}

/** A logger that drops every line. */
export const silentLogger: Logger = {
  write: () => undefined,
};
