import { parseFaultNames } from "../usage.js";
import { buildBundle } from "./bundle.js";
import { listFaultNames, planFaults } from "./faults.js";
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
  const { faults: wanted = known.join(",") } = flags;
  const names = wanted === "none" ? [] : parseFaultNames(wanted, known);
  const faults = planFaults(flags.seed, site, durationMs, names, flags.count);
  buildBundle(process.cwd());
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
