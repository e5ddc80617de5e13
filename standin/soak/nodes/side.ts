import { UsageError } from "../usage.js";
import { listFaultNames, planFaults, type NodeFaultName } from "./faults.js";
import { runNodeSoak } from "./run.js";
import { defaultSite, readSite } from "./site.js";
import { computeAnsweredShare, formatServed } from "./tally.js";

/** Flags of the soak of the nodes on the users' platform. */
export interface NodesSideFlags {
  readonly minutes: number;
  readonly seed: number;
  readonly faults?: string;
  readonly site?: string;
  readonly scale: number;
  readonly lead: number;
  readonly count: number;
  readonly log?: string;
}

const msPerSecond = 1000;
const msPerMinute = 60_000;

/** Runs the deployed program under load and faults, prints what was served, and ends this process. */
export async function runNodesSide(
  flags: NodesSideFlags,
  print: (text: string) => void,
): Promise<void> {
  const site = flags.site === undefined ? defaultSite : readSite(flags.site);
  const durationMs = flags.minutes * msPerMinute;
  const known = listFaultNames(site);
  const names = flags.faults === undefined ? known : parseFaultNames(flags.faults, known);
  const faults = planFaults(flags.seed, site, durationMs, names, flags.count);
  const report = await runNodeSoak({
    site,
    seed: flags.seed,
    durationMs,
    faults,
    scale: flags.scale,
    leadMs: flags.lead * msPerSecond,
    repository: process.cwd(),
    onEvent: print,
    ...(flags.log === undefined ? {} : { logPath: flags.log }),
  });
  print(formatServed(report.served));
  for (const line of report.cutReads) print(line);
  for (const breach of report.breaches) print(`seed ${flags.seed}: ${breach}`);
  const share = computeAnsweredShare(report.served.total);
  const { unexpectedEnds, sentBytes } = report;
  print(JSON.stringify({ seed: flags.seed, share, unexpectedEnds, sentBytes }));
  process.exit(report.breaches.length === 0 && report.unexpectedEnds === 0 ? 0 : 1);
}

/** Parses names of faults that the site can have, separated by commas; `none` gives none. */
function parseFaultNames(text: string, known: readonly NodeFaultName[]): readonly NodeFaultName[] {
  const wanted = text === "none" ? [] : text.split(",");
  const unknown = wanted.filter((name) => !known.some((one) => one === name));
  if (unknown.length > 0) throw new UsageError(`--faults: unknown: ${unknown.join(", ")}`);
  return known.filter((name) => wanted.includes(name));
}
