import type { GapReport } from "./gaps.js";
import type { LatencyReport } from "./latency.js";
import type { StallReport } from "./stalls.js";
import type { Summary } from "./statistics.js";

const width = 20;

/** The gaps as a table: median and worst in milliseconds, whole and by step. */
export function formatGaps(reports: readonly GapReport[]): string {
  const head = ["failure", "n", "gap", "detecting", "fencing", "promoting", "first write"];
  const rows = reports.map((r) => [
    r.failure,
    String(r.gap.count),
    ...[r.gap, r.detecting, r.fencing, r.promoting, r.firstWrite].map(formatSummary),
  ]);
  return formatTable([head, ...rows]);
}

/** The latencies as a table: median and worst in milliseconds. */
export function formatLatencies(reports: readonly LatencyReport[]): string {
  const head = ["lag ms", "n", "direct", "witnessed", "replicated"];
  const rows = reports.map((r) => [
    String(r.lagMs),
    String(r.direct.count),
    ...[r.direct, r.witnessed, r.replicated].map(formatSummary),
  ]);
  return formatTable([head, ...rows]);
}

/** The stalls as a table: for each pair of times, the share that cost the primary its role. */
export function formatStalls(reports: readonly StallReport[]): string {
  const stalls = [...new Set(reports.map((r) => r.stallMs))];
  const pairs = [...new Set(reports.map((r) => `${r.heartbeatMs} / ${r.confirmMs}`))];
  const find = (pair: string, stallMs: number): string => {
    const isSame = (r: StallReport): boolean =>
      r.stallMs === stallMs && `${r.heartbeatMs} / ${r.confirmMs}` === pair;
    return String(reports.find(isSame)?.needless ?? "");
  };
  const head = ["heartbeat / confirm", ...stalls.map((ms) => `stall ${ms} ms`)];
  return formatTable([head, ...pairs.map((p) => [p, ...stalls.map((ms) => find(p, ms))])]);
}

function formatSummary({ medianMs, worstMs }: Summary): string {
  return `${medianMs} / ${worstMs}`;
}

function formatTable(rows: readonly (readonly string[])[]): string {
  return rows.map((row) => row.map((cell) => cell.padEnd(width)).join("")).join("\n");
}
