import type { LoadReport } from "./run.js";
import { countRequests, type TallyReport } from "./tally.js";

const headings = [
  "population",
  "work",
  "requests",
  "landed",
  "landed/s",
  "not run",
  "may have run",
  "failed",
  "p50 ms",
  "p99 ms",
  "max ms",
  "refused p99 ms",
  "gap ms",
];

/** Formats a report as a text table. */
export function formatReport(report: LoadReport): string {
  const rows = [headings, ...report.tallies.map((t) => formatTally(t, report.elapsedMs))];
  const widths = headings.map((_, i) => Math.max(...rows.map((row) => row[i]?.length ?? 0)));
  const lines = rows.map((row) =>
    row.map((cell, i) => (i < 2 ? cell.padEnd(widths[i] ?? 0) : cell.padStart(widths[i] ?? 0))),
  );
  return [...lines.map((cells) => cells.join("  ")), "", ...formatChecks(report)].join("\n");
}

function formatTally(tally: TallyReport, elapsedMs: number): readonly string[] {
  const { counts, latency, refusal } = tally;
  return [
    tally.population,
    tally.work,
    String(countRequests(tally)),
    String(counts.landed),
    ((counts.landed * 1000) / elapsedMs).toFixed(1),
    String(counts.notRun),
    String(counts.mayHaveRun),
    String(counts.failed),
    latency.p50.toFixed(1),
    latency.p99.toFixed(1),
    latency.max.toFixed(1),
    refusal.p99.toFixed(1),
    tally.longestGapMs.toFixed(1),
  ];
}

function formatChecks({ violations, tallies, unfinished, unverified, seed }: LoadReport) {
  const states = new Map<string, number>();
  for (const [state, count] of tallies.flatMap((t) => Object.entries(t.states))) {
    states.set(state, (states.get(state) ?? 0) + count);
  }
  const listed = [...states].map(([state, count]) => `${state} ×${count}`).join(", ");
  return [
    `seed ${seed}; own writes not seen: ${violations.readYourWrites}; ` +
      `reservations that landed twice: ${violations.atMostOnce}`,
    `errors: ${listed === "" ? "none" : listed}; unfinished: ${unfinished}; ` +
      `sessions not checked at the end: ${unverified}`,
    ...violations.samples.map((v) => `${v.invariant}: ${v.session}: ${v.detail}`),
  ];
}
