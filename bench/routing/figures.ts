import { renderTable } from "../admission/table.js";
import { measureMatch, type MatchFigures } from "./match.js";
import { measureShare, type ShareFigures } from "./share.js";

/** What routing and matching give and cost. */
export interface RoutingFigures {
  readonly seed: number;
  readonly shares: readonly ShareFigures[];
  readonly matches: readonly MatchFigures[];
}

const lags = [10, 100, 1000, 5000];
const cases = [
  { route: { type: "replica" }, patienceMs: 0 },
  { route: { type: "replica" }, patienceMs: 20 },
  { route: { type: "replica" }, patienceMs: 100 },
  { route: { type: "stale", maxAgeMs: 2000 }, patienceMs: 0 },
  { route: { type: "stale", maxAgeMs: 10_000 }, patienceMs: 0 },
] as const;

/** Measures every case at every lag. */
export function measureRouting(seed: number): RoutingFigures {
  const shares = cases.flatMap(({ route, patienceMs }) =>
    lags.map((lagMs) => measureShare(lagMs, route, patienceMs, seed)),
  );
  return { seed, shares, matches: measureMatch() };
}

/** Renders the figures as two Markdown tables. */
export function renderRouting({ shares, matches }: RoutingFigures): string {
  const shareHeads = [
    "route",
    "patience ms",
    "lag ms",
    "reads",
    "on replicas",
    "knowing all",
    "mean wait ms",
    "wrong",
  ];
  const shareRows = shares.map((s) => [
    s.route.type === "stale" ? `stale ${s.route.maxAgeMs} ms` : s.route.type,
    s.patienceMs,
    s.lagMs,
    s.reads,
    toPercent(s.share),
    toPercent(s.knowingShare),
    s.meanWaitMs.toFixed(2),
    s.wrong,
  ]);
  const matchRows = matches.map((m) => [m.rules, m.indexedMicros, m.plainMicros]);
  const matchTable = renderTable(["rules", "index µs", "plain reading µs"], matchRows);
  return `${renderTable(shareHeads, shareRows)}\n\n${matchTable}`;
}

function toPercent(share: number): string {
  return `${(100 * share).toFixed(1)} %`;
}
