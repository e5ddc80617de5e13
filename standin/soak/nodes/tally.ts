/** How an operation ended for its caller. */
export type OperationOutcome = "served" | "late" | "refused" | "failed" | "denied";

/** One finished operation. */
export interface OperationResult {
  readonly kind: string;
  readonly zone: string;
  readonly region: string;
  readonly team: string;
  /** When it was asked for, in milliseconds since traffic started. */
  readonly atMs: number;
  /** Whether the operation lies within the rate of its team. */
  readonly isOwed: boolean;
  /** What it is worth if it is answered in time, and if it is answered late. */
  readonly worth: number;
  readonly lateWorth: number;
  readonly outcome: OperationOutcome;
  /** The last error of an operation that was not served. */
  readonly reason: string;
}

/** The operations of one kind, zone, region, team or second. */
export interface ServedShare {
  readonly name: string;
  readonly asked: number;
  /** Answered with success, in time or late. */
  readonly answered: number;
  readonly inTime: number;
  /** What all of them are worth in time, and what was earned of it. */
  readonly owed: number;
  readonly earned: number;
}

/** What part of the operations was served, over the whole run and by each dimension. */
export interface ServedReport {
  readonly total: ServedShare;
  readonly kinds: readonly ServedShare[];
  readonly zones: readonly ServedShare[];
  readonly regions: readonly ServedShare[];
  /** Each kind in each region, with names such as `browse@east`. */
  readonly kindsByRegion: readonly ServedShare[];
  readonly teams: readonly ServedShare[];
  readonly seconds: readonly ServedShare[];
  /** Errors of operations that were not served, by frequency. */
  readonly reasons: readonly (readonly [reason: string, count: number])[];
}

const msPerSecond = 1000;

/** Summarises the operations. */
export function summariseServed(results: readonly OperationResult[]): ServedReport {
  const second = ({ atMs }: OperationResult) => String(Math.floor(atMs / msPerSecond));
  const bySecond = summariseBy(results, second);
  return {
    total: summariseGroup("all", results),
    kinds: summariseBy(results, ({ kind }) => kind),
    zones: summariseBy(results, ({ zone }) => zone),
    regions: summariseBy(results, ({ region }) => region),
    kindsByRegion: summariseBy(results, ({ kind, region }) => `${kind}@${region}`),
    teams: summariseBy(results, ({ team }) => team),
    seconds: [...bySecond].sort((a, b) => Number(a.name) - Number(b.name)),
    reasons: countReasons(results),
  };
}

/** The share of operations that were answered; 1 if none was asked for. */
export function computeAnsweredShare({ asked, answered }: ServedShare): number {
  return asked === 0 ? 1 : answered / asked;
}

/** The share that was earned of what the operations are worth; 1 if none was asked for. */
export function computeEarnedShare({ owed, earned }: ServedShare): number {
  return owed === 0 ? 1 : earned / owed;
}

/** The operations asked for from a time on, in milliseconds since traffic started. */
export function summariseSince(results: readonly OperationResult[], sinceMs: number): ServedShare {
  return summariseGroup(
    `since ${Math.round(sinceMs)} ms`,
    results.filter(({ atMs }) => atMs >= sinceMs),
  );
}

/** Formats the shares as text, a line for each dimension. */
export function formatServed(report: ServedReport): string {
  const dimensions = [
    ["all", [report.total]],
    ["kind", report.kinds],
    ["zone", report.zones],
    ["region", report.regions],
    ["", report.regions.length > 1 ? report.kindsByRegion : []],
    ["team", listWorst(report.teams)],
    ["second", report.seconds],
  ] as const;
  const lines = dimensions.flatMap(([name, shares]) =>
    shares.length === 0 ? [] : [`${name.padEnd(7)}${shares.map(formatShare).join("  ")}`],
  );
  const reasons = report.reasons.slice(0, maxReasons).map(([text, n]) => `${n} x ${text}`);
  return [...lines, ...reasons].join("\n");
}

const maxReasons = 12;
const maxTeams = 8;

function listWorst(teams: readonly ServedShare[]): readonly ServedShare[] {
  return [...teams]
    .sort((a, b) => computeAnsweredShare(a) - computeAnsweredShare(b))
    .slice(0, maxTeams);
}

function formatShare(share: ServedShare): string {
  const inTime = share.asked === 0 ? 1 : share.inTime / share.asked;
  const shares = [computeAnsweredShare(share), inTime, computeEarnedShare(share)];
  return `${share.name}:${shares.map((value) => value.toFixed(3)).join("/")}(${share.asked})`;
}

function summariseBy(
  results: readonly OperationResult[],
  getName: (result: OperationResult) => string,
): readonly ServedShare[] {
  const groups = new Map<string, OperationResult[]>();
  for (const result of results) {
    const name = getName(result);
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [result]);
    else group.push(result);
  }
  return [...groups].map(([name, group]) => summariseGroup(name, group));
}

function summariseGroup(name: string, results: readonly OperationResult[]): ServedShare {
  const owed = results.filter(({ isOwed, outcome }) => isOwed && outcome !== "denied");
  const inTime = owed.filter(({ outcome }) => outcome === "served").length;
  const late = owed.filter(({ outcome }) => outcome === "late").length;
  const worth = owed.reduce((sum, result) => sum + result.worth, 0);
  const earned = owed.reduce((sum, result) => sum + computeEarned(result), 0);
  return { name, asked: owed.length, answered: inTime + late, inTime, owed: worth, earned };
}

function computeEarned({ outcome, worth, lateWorth }: OperationResult): number {
  if (outcome === "served") return worth;
  return outcome === "late" ? lateWorth : 0;
}

function countReasons(results: readonly OperationResult[]): ServedReport["reasons"] {
  const counts = new Map<string, number>();
  for (const { isOwed, reason } of results) {
    if (isOwed && reason !== "") counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  return [...counts].sort(([, a], [, b]) => b - a);
}
