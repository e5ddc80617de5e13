import { mkdirSync, writeFileSync } from "node:fs";
import { renderTable } from "../admission/table.js";
import { measureMatch } from "./match.js";
import { measureShare } from "./share.js";

const seed = Number(process.argv[2] ?? 1);
const lags = [10, 100, 1000, 5000];
const cases = [
  { route: { type: "replica" }, patienceMs: 0 },
  { route: { type: "replica" }, patienceMs: 20 },
  { route: { type: "replica" }, patienceMs: 100 },
  { route: { type: "stale", maxAgeMs: 2000 }, patienceMs: 0 },
  { route: { type: "stale", maxAgeMs: 10_000 }, patienceMs: 0 },
] as const;
const shares = cases.flatMap(({ route, patienceMs }) =>
  lags.map((lagMs) => measureShare(lagMs, route, patienceMs, seed)),
);
const matches = measureMatch();
mkdirSync("bench/out", { recursive: true });
writeFileSync("bench/out/routing.json", JSON.stringify({ seed, shares, matches }, null, 2));

const toPercent = (share: number) => `${(100 * share).toFixed(1)} %`;
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
console.log(`Reads on replicas, seed ${seed}\n\n${renderTable(shareHeads, shareRows)}\n`);
const matchRows = matches.map((m) => [m.rules, m.indexedMicros, m.plainMicros]);
console.log(renderTable(["rules", "index µs", "plain reading µs"], matchRows));
