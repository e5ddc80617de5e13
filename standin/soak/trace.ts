import type { Logger } from "../../src/log/index.js";

/** One line of a run's trace. */
export interface TraceLine {
  readonly atMs: number;
  /** The session, `fault` or `check`. */
  readonly source: string;
  readonly text: string;
}

const maxKept = 20_000;
const lastLines = 12;
const alwaysListed: ReadonlySet<string> = new Set(["fault", "check", "proxy"]);

/** What happened in a run, the newest lines. */
export class Trace {
  private lines: TraceLine[] = [];
  private readonly startedAt = Date.now();

  record(who: string, what: string): void {
    this.lines.push({ atMs: Date.now() - this.startedAt, source: who, text: what });
    if (this.lines.length > 2 * maxKept) this.lines = this.lines.slice(-maxKept);
  }

  /** Forgets what was noted: the rounds before were checked and held. */
  clear(): void {
    this.lines = [];
  }

  /**
   * Lists what a reader needs about `parts`, ids and names of who acts: faults and checks, each line
   * that names a part with the answer after it, and the last lines of each part that acts.
   */
  list(parts: readonly string[]): readonly TraceLine[] {
    const kept = new Set<TraceLine>();
    const awaited = new Set<string>();
    for (const line of this.lines) {
      const { source: who, text: what } = line;
      const isNamed = parts.some((part) => what.includes(part));
      if (isNamed || awaited.has(who) || alwaysListed.has(who)) kept.add(line);
      if (isNamed) awaited.add(who);
      else awaited.delete(who);
    }
    for (const part of parts) {
      for (const line of this.lines.filter(({ source: who }) => who === part).slice(-lastLines)) {
        kept.add(line);
      }
    }
    return this.lines.filter((line) => kept.has(line));
  }
}

/** Takes a proxy's log lines into a trace. */
export function createTraceLogger(trace: Trace): Logger {
  return {
    write: (event, ...fields) => {
      trace.record("proxy", `${event.name} ${JSON.stringify(fields)}`);
    },
  };
}

/** Writes a trace for a reader: milliseconds, who, what. */
export function formatTrace(lines: readonly TraceLine[]): string {
  return lines
    .map(
      ({ atMs, source: who, text: what }) =>
        `${String(atMs).padStart(8)} ms  ${who.padEnd(10)} ${what}`,
    )
    .join("\n");
}
