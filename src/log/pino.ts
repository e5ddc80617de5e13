import { pino, type DestinationStream, type Logger as Pino } from "pino";
import type { Disposable } from "../model/index.js";
import type { Level, LogEvent, LogFields, Logger } from "./event.js";
import { LogOutput } from "./output.js";

const finishTimeoutMs = 1000;
const standardOutputDescriptor = 1;

/** A destination of log lines that can be flushed synchronously, as pino's own destinations can. */
export interface LogDestination extends DestinationStream {
  flushSync?(): void;
  finish?(timeoutMs: number): Promise<void>;
}

/** Options of a `PinoLogger`. */
export interface PinoLoggerOptions {
  readonly level: Level;
  /** Fields of every line, such as the VM's name. */
  readonly base: LogFields;
  /** Defaults to standard output, written in the background. */
  readonly destination?: LogDestination;
}

/**
 * Writes events as JSON lines with their number, name, text and fields. The field names `level`,
 * `time`, `msg`, `event` and `name` are reserved.
 */
export class PinoLogger implements Logger, Disposable {
  private readonly destination: LogDestination;
  private readonly pino: Pino;
  private readonly flushAtExit = (): void => {
    this.flush();
  };

  constructor(options: PinoLoggerOptions) {
    this.destination = options.destination ?? new LogOutput(standardOutputDescriptor);
    this.pino = pino(
      { level: options.level, base: options.base, timestamp: pino.stdTimeFunctions.isoTime },
      this.destination,
    );
    process.on("exit", this.flushAtExit);
  }

  write(event: LogEvent, fields: LogFields = {}): void {
    if (!this.pino.isLevelEnabled(event.level)) return;
    this.pino[event.level]({ event: event.id, name: event.name, ...fields }, event.text);
  }

  /** Writes the buffered lines synchronously. */
  flush(): void {
    this.destination.flushSync?.();
  }

  /** Resolves when the buffered lines are written, or after one second. */
  async finish(): Promise<void> {
    await this.destination.finish?.(finishTimeoutMs);
  }

  dispose(): void {
    process.off("exit", this.flushAtExit);
    this.flush();
  }
}
