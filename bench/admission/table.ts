import type { FloodFigures } from "./floods.js";
import type { SlopeFigures } from "./slopes.js";

/** Renders rows as a Markdown table. */
export function renderTable(
  heads: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const line = (cells: readonly (string | number)[]) => `| ${cells.join(" | ")} |`;
  return [line(heads), line(heads.map(() => "---")), ...rows.map(line)].join("\n");
}

/** Renders what the floods did to paying writes, and what became of the rest. */
export function renderFloods(figures: readonly FloodFigures[]): string {
  const heads = [
    "group",
    "queue",
    "flood",
    "writes",
    "lost",
    "p50 ms",
    "p99 ms",
    "worst ms",
    "reads p99 ms",
    "reads lost",
    "browsing served",
    "on primary",
    "trial served",
    "refused after ms (p50, p99, worst)",
    "refused late",
    "storm ms",
  ];
  const rows = figures.map((f) => {
    const { payingWrite: write, payingRead: read, trialRead, trialWrite } = f.streams;
    const { browsing, browsingOnPrimary } = f.streams;
    const { p50, p99, worst } = f.refusedAfterMs;
    return [
      f.group,
      f.arrangement,
      `×${f.flood}`,
      write.sent,
      write.lost,
      write.p50,
      write.p99,
      write.worst,
      read.p99,
      read.lost,
      renderShare(browsing.served, browsing.sent),
      renderShare(browsingOnPrimary.served, browsingOnPrimary.sent),
      renderShare(trialRead.served + trialWrite.served, trialRead.sent + trialWrite.sent),
      `${p50}, ${p99}, ${worst}`,
      renderShare(f.lateShare, 1),
      Math.round(f.stormMs),
    ];
  });
  return renderTable(heads, rows);
}

/** Renders the cost of events and state by size. */
export function renderSlopes(slopes: readonly SlopeFigures[]): string {
  const heads = ["waiting", "teams", "events/s", "µs an event", "µs a tick", "bytes a request"];
  const rows = slopes.map((s) => [
    s.waiting,
    s.teams,
    s.eventsPerSecond,
    s.eventMicros,
    s.tickMicros,
    s.bytesPerRequest,
  ]);
  return renderTable(heads, rows);
}

function renderShare(part: number, whole: number): string {
  return whole === 0 ? "-" : `${((100 * part) / whole).toFixed(1)} %`;
}
