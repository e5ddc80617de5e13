import type { Logger } from "../../src/log/index.js";

/** A line of a run's trace. */
export interface TraceLine {
  /** Since the run started. */
  readonly atMs: number;
  /** The name of a session, operator or target, or `fault`, `check` or `proxy`. */
  readonly source: string;
  readonly text: string;
}

const maxKept = 20_000;
const lastLineCount = 12;
const alwaysListed: ReadonlySet<string> = new Set(["fault", "check", "proxy"]);

/** Keeps the newest lines of a run, at least `maxKept` once there are as many. */
export class Trace {
  private lines: TraceLine[] = [];
  private readonly startedAt = Date.now();

  record(source: string, text: string): void {
    this.lines.push({ atMs: Date.now() - this.startedAt, source, text });
    if (this.lines.length > 2 * maxKept) this.lines = this.lines.slice(-maxKept);
  }

  /** Removes all lines: the rounds before passed their checks. */
  clear(): void {
    this.lines = [];
  }

  /**
   * Lists the lines that help to explain what happened to `subjects` (ids of rows or names of
   * sources): faults, checks and proxy logs, each line that names a subject together with the next
   * line of the same source, and the last lines of each subject that is a source.
   */
  list(subjects: readonly string[]): readonly TraceLine[] {
    const kept = new Set<TraceLine>();
    const sourcesToFollow = new Set<string>();
    for (const line of this.lines) {
      const { source, text } = line;
      const isNamed = subjects.some((subject) => text.includes(subject));
      if (isNamed || sourcesToFollow.has(source) || alwaysListed.has(source)) kept.add(line);
      if (isNamed) sourcesToFollow.add(source);
      else sourcesToFollow.delete(source);
    }
    for (const subject of subjects) {
      for (const line of this.lines
        .filter(({ source }) => source === subject)
        .slice(-lastLineCount)) {
        kept.add(line);
      }
    }
    return this.lines.filter((line) => kept.has(line));
  }
}

/** Creates a logger that adds the log lines of proxies to a trace. */
export function createTraceLogger(trace: Trace): Logger {
  return {
    write: (event, ...fields) => {
      trace.record("proxy", `${event.name} ${JSON.stringify(fields)}`);
    },
  };
}

/** Formats a trace as text: milliseconds, source and text in each line. */
export function formatTrace(lines: readonly TraceLine[]): string {
  return lines
    .map(({ atMs, source, text }) => `${String(atMs).padStart(8)} ms  ${source.padEnd(10)} ${text}`)
    .join("\n");
}
