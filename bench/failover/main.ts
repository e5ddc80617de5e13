import { cac } from "cac";
import { createRandom } from "./fakefleet.js";
import { type GapReport, measureGaps } from "./gaps.js";
import { type LatencyReport, measureLatency } from "./latency.js";
import { createFakeRig, type GapListener, type Rig } from "./rig.js";
import { createStandinRig } from "./standinrig.js";
import { measureStalls } from "./stalls.js";
import { formatGaps, formatLatencies, formatStalls } from "./table.js";

interface Flags {
  readonly targets: string;
  readonly failovers: number;
  readonly seed: number;
  readonly json: boolean;
  readonly latency: boolean;
  readonly stalls: boolean;
}

const cli = cac("failover");
cli
  .command("", "Measure changes of primary and the latency of acknowledged writes")
  .option("--targets <kind>", "fake: in memory; standin: stand-in targets", { default: "fake" })
  .option("--failovers <n>", "Changes of primary for each kind of failure", { default: 30 })
  .option("--seed <n>", "Seed of everything drawn", { default: 1 })
  .option("--no-latency", "Leave out the latency of writes")
  .option("--stalls", "Only tell which stalls cost a primary its role", { default: false })
  .option("--json", "Print JSON alone", { default: false })
  .action((flags: Flags) => run(flags));
cli.help();
cli.parse();

async function run(flags: Flags): Promise<void> {
  const { failovers, seed } = flags;
  if (flags.stalls) {
    const stalls = await measureStalls(failovers, seed);
    if (!flags.json) print(formatStalls(stalls));
    print(JSON.stringify({ seed, stalls }));
    return;
  }
  const create = (onGap: GapListener): Rig | Promise<Rig> =>
    flags.targets === "standin" ? createStandinRig(seed, onGap) : createFakeRig(seed, onGap);
  const gaps: GapReport[] = [];
  for (const failure of ["kill", "freeze"] as const) {
    gaps.push(await measureGaps(create, failure, failovers, createRandom(seed)));
  }
  const latencies: readonly LatencyReport[] = flags.latency ? await measureLatency(create) : [];
  if (!flags.json) print(`${formatGaps(gaps)}\n${formatLatencies(latencies)}`);
  print(JSON.stringify({ targets: flags.targets, seed, gaps, latencies }));
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
