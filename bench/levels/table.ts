import { floodTeam, kinds, type Scenario } from "./workload.js";
import type { Order, Outcome } from "./world.js";

/** The figures of one level in one run. */
export interface LevelFigures {
  readonly level: number;
  /** The share of the statements that were answered within their objective. */
  readonly within: number;
  /** The same in the worst 2 s. */
  readonly worstWindow: number;
  /** The same of the large teams together, without the flooding one. */
  readonly withinLarge: number;
  readonly withinSmall: number;
  readonly withinFloodTeam: number;
  /** The share that was answered before the deadline. */
  readonly answered: number;
  readonly refusalsPerStatement: number;
  /** The share of the refusals that a caller got within `promptMs`. */
  readonly promptRefusals: number;
  /** The mean time to a refusal. */
  readonly refusedAfterMs: number;
  readonly p99Ms: number;
}

/** The figures of one run. */
export interface RunFigures {
  readonly nodes: number;
  readonly scenario: Scenario;
  readonly order: Order;
  readonly levels: readonly LevelFigures[];
}

const windowMs = 2000;
/** The time in which a refused statement is to be answered. */
const promptMs = 50;

/** Computes the figures of each level. */
export function computeFigures(outcomes: readonly Outcome[]): readonly LevelFigures[] {
  return kinds.map(({ level }) => {
    const own = outcomes.filter(({ arrival }) => arrival.shape.level === level);
    const isFlood = ({ arrival }: Outcome) => arrival.team === floodTeam;
    const isLarge = ({ arrival }: Outcome) => arrival.team.startsWith("large");
    const times = own.flatMap(({ answeredAfterMs }) => answeredAfterMs ?? []).sort((a, b) => a - b);
    const refused = own.flatMap(({ refusedAfterMs }) => refusedAfterMs);
    return {
      level,
      within: computeWithin(own),
      worstWindow: findWorstWindow(own),
      withinLarge: computeWithin(own.filter((o) => isLarge(o) && !isFlood(o))),
      withinSmall: computeWithin(own.filter((o) => !isLarge(o))),
      withinFloodTeam: computeWithin(own.filter(isFlood)),
      answered: times.length / own.length,
      refusalsPerStatement: refused.length / own.length,
      promptRefusals: refused.filter((ms) => ms <= promptMs).length / refused.length,
      refusedAfterMs: refused.reduce((sum, ms) => sum + ms, 0) / refused.length,
      p99Ms: times[Math.floor(times.length * 0.99)] ?? Number.NaN,
    };
  });
}

function computeWithin(outcomes: readonly Outcome[]): number {
  const within = outcomes.filter(
    ({ arrival, answeredAfterMs }) =>
      answeredAfterMs !== undefined && answeredAfterMs <= arrival.shape.objectiveMs,
  );
  return within.length / outcomes.length;
}

function findWorstWindow(outcomes: readonly Outcome[]): number {
  const windows = new Map<number, Outcome[]>();
  for (const outcome of outcomes) {
    const index = Math.floor(outcome.arrival.at / windowMs);
    windows.set(index, [...(windows.get(index) ?? []), outcome]);
  }
  return Math.min(...[...windows.values()].map(computeWithin));
}

/** Renders the figures as a table in Markdown. */
export function renderFigures(runs: readonly RunFigures[]): string {
  const head =
    "| nodes | load | order | level | within | worst 2 s | large teams | small teams | one large team (the flooding one) | answered | refusals each | prompt refusals | mean ms to a refusal | p99 ms |";
  const rule = `|${" --- |".repeat(14)}`;
  const rows = runs.flatMap(({ nodes, scenario, order, levels }) =>
    levels.map((f) => {
      const shares = [f.within, f.worstWindow, f.withinLarge, f.withinSmall, f.withinFloodTeam];
      const cells = [nodes, scenario, order, f.level, ...shares.map((s) => s.toFixed(3))];
      const rest = [
        f.answered.toFixed(3),
        f.refusalsPerStatement.toFixed(2),
        formatNumber(f.promptRefusals, 2),
        formatNumber(f.refusedAfterMs, 0),
        formatNumber(f.p99Ms, 0),
      ];
      return `| ${[...cells, ...rest].join(" | ")} |`;
    }),
  );
  return [head, rule, ...rows].join("\n");
}

function formatNumber(value: number, digits: number): string {
  return Number.isFinite(value) ? value.toFixed(digits) : "-";
}
