import { parseFaultNames, UsageError } from "../usage.js";
import { buildBundle } from "./bundle.js";
import type { TimedFault } from "./fault.js";
import { listFaultNames, planFaults } from "./fault-plan.js";
import { createFixedPlan, fixedPlanNames, type FixedPlanName } from "./fixed-plans.js";
import { runNodeSoak, type FinalFault } from "./run.js";
import { defaultSite, readSite, type SoakSite } from "./site.js";
import { computeAnsweredShare, computeEarnedShare, formatServed } from "./tally.js";

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
  readonly final?: string;
  readonly share: boolean;
  readonly plan?: string;
  readonly busy: number;
  /** Whether commits are acknowledged only once a replica has received them, whatever the site says. */
  readonly sync: boolean;
}

const msPerSecond = 1000;
const msPerMinute = 60_000;

/** Runs the deployed program under load and faults, prints what was served, and ends this process. */
export async function runNodesSide(
  flags: NodesSideFlags,
  print: (text: string) => void,
): Promise<void> {
  const known = flags.site === undefined ? defaultSite : readSite(flags.site);
  const site = flags.sync ? { ...known, syncReplicas: 1 } : known;
  const durationMs = flags.minutes * msPerMinute;
  const faults = planRun(flags, site, durationMs);
  buildBundle(process.cwd());
  const report = await runNodeSoak({
    site,
    seed: flags.seed,
    durationMs,
    faults,
    scale: flags.scale,
    leadMs: flags.lead * msPerSecond,
    neighbours: flags.busy,
    repository: process.cwd(),
    onEvent: print,
    isShareLimited: flags.share,
    ...(flags.final === undefined ? {} : { finalFault: parseFinalFault(flags.final) }),
    ...(flags.log === undefined ? {} : { logPath: flags.log }),
  });
  print(formatServed(report.served));
  for (const line of report.cutReads) print(line);
  for (const line of report.belowFloor) print(`below its floor: ${line}`);
  for (const breach of report.breaches) print(`seed ${flags.seed}: ${breach}`);
  const share = computeAnsweredShare(report.served.total);
  const earned = computeEarnedShare(report.served.total);
  const recovered = computeAnsweredShare(report.recovered);
  const { unexpectedEnds, sentBytes, conditions, belowFloor, breaches, lateArrivals, recovery } =
    report;
  const summary = {
    seed: flags.seed,
    share,
    earned,
    recovered,
    recovery,
    unexpectedEnds,
    lateArrivals,
    sentBytes,
    conditions,
  };
  print(JSON.stringify(summary));
  process.exit(breaches.length + belowFloor.length + unexpectedEnds === 0 ? 0 : 1);
}

/** A plan that is named, or faults drawn by the seed. */
function planRun(
  { plan, faults, seed, count }: NodesSideFlags,
  site: SoakSite,
  durationMs: number,
): readonly TimedFault[] {
  if (plan !== undefined) return createFixedPlan(parsePlanName(plan), site);
  const known = listFaultNames(site);
  const wanted = faults ?? known.join(",");
  const names = wanted === "none" ? [] : parseFaultNames(wanted, known);
  return planFaults(seed, site, durationMs, names, count);
}

function parsePlanName(text: string): FixedPlanName {
  const name = fixedPlanNames.find((known) => known === text);
  if (name === undefined)
    throw new UsageError(`--plan: must be ${fixedPlanNames.join(" or ")}: ${text}`);
  return name;
}

function parseFinalFault(text: string): FinalFault {
  if (text === "kill" || text === "power") return text;
  throw new UsageError(`--final: must be kill or power: ${text}`);
}
