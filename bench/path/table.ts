import type { IdleCost } from "./idle.js";
import type { Comparison } from "./statements.js";

const width = 14;
const nameWidth = 26;

/** The comparisons as a table: the proxy, the direct way, and the ratio of both. */
export function formatComparisons(comparisons: readonly Comparison[]): string {
  const head = ["statement", "callers", "p50 ms", "direct", "ratio", "p99 ratio", "per s", "ratio"];
  const rows = comparisons.map(({ work, connections, direct, proxied, ratio }) => [
    work,
    connections,
    proxied.p50Ms,
    direct.p50Ms,
    ratio.p50Ms,
    ratio.p99Ms,
    proxied.perSecond,
    ratio.perSecond,
  ]);
  return formatTable([head, ...rows]);
}

/** The idle costs as a table. */
export function formatIdle(costs: readonly IdleCost[]): string {
  const head = ["idle proxy", "callers", "% of a core", "resident MB", "heap MB"];
  const rows = costs.map((c) => [
    "",
    c.callers,
    Math.round(c.coreShare * 10_000) / 100,
    c.residentMb,
    c.heapMb,
  ]);
  return formatTable([head, ...rows]);
}

function formatTable(rows: readonly (readonly (string | number)[])[]): string {
  const pad = (cell: string | number, i: number): string =>
    String(cell).padEnd(i === 0 ? nameWidth : width);
  return rows.map((row) => row.map(pad).join("").trimEnd()).join("\n");
}
