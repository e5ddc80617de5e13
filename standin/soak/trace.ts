import type { Logger } from "../../src/log/index.js";

/** One line of a run's trace. */
export interface TraceLine {
  readonly atMs: number;
  /** The session, `fault` or `check`. */
  readonly who: string;
  readonly what: string;
}

const maxKept = 20_000;

/** What happened in a run, the newest lines. */
export class Trace {
  private lines: TraceLine[] = [];
  private readonly startedAt = Date.now();

  note(who: string, what: string): void {
    this.lines.push({ atMs: Date.now() - this.startedAt, who, what });
    if (this.lines.length > 2 * maxKept) this.lines = this.lines.slice(-maxKept);
  }

  /** Forgets what was noted: the rounds before were checked and held. */
  clear(): void {
    this.lines = [];
  }

  /** Lists the faults, and the lines of the sessions or ids that `parts` name. */
  list(parts: readonly string[]): readonly TraceLine[] {
    return this.lines.filter(
      ({ who, what }) =>
        who === "fault" || parts.some((part) => who === part || what.includes(part)),
    );
  }
}

/** Takes a proxy's log lines into a trace. */
export function createTraceLogger(trace: Trace): Logger {
  return {
    write: (event, ...fields) => {
      trace.note("proxy", `${event.name} ${JSON.stringify(fields)}`);
    },
  };
}

/** Writes a trace for a reader: milliseconds, who, what. */
export function formatTrace(lines: readonly TraceLine[]): string {
  return lines
    .map(({ atMs, who, what }) => `${String(atMs).padStart(8)} ms  ${who.padEnd(10)} ${what}`)
    .join("\n");
}
