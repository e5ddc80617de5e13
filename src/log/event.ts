/** How loud an event is, in pino's words. */
export type Level = "debug" | "info" | "warn" | "error";

/** One numbered kind of log line. Numbers never change their meaning. */
export interface LogEvent {
  readonly id: number;
  readonly name: string;
  readonly level: Level;
  /** What happened, for the reader of the line and of the catalogue. */
  readonly text: string;
}

/** Values that go with a line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Where log lines go. */
export interface Logger {
  write(event: LogEvent, fields?: LogFields): void;
}

/** A logger that drops every line. */
export const silentLogger: Logger = {
  write: () => undefined,
};
