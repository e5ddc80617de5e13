import { cac } from "cac";
import { formatCounts } from "./counts.js";
import { faultTypes, type Fault } from "./plan.js";
import { runSoak } from "./run.js";

interface Flags {
  readonly minutes: number;
  readonly rounds?: number;
  readonly seed: number;
  readonly faults?: string;
  readonly groups?: number;
  readonly logs: boolean;
  readonly json: boolean;
}

const msPerMinute = 60_000;

const cli = cac("soak");
cli
  .command("", "Run callers, faults and checks for a time")
  .option("--minutes <n>", "How long rounds begin", { default: 1 })
  .option("--rounds <n>", "Run just so many rounds instead")
  .option("--seed <n>", "Seed of the plan of faults and of work", { default: 1 })
  .option("--faults <types>", "Draw just these sorts, such as killTarget,cutPeer")
  .option("--groups <n>", "Groups of three targets; two for even seeds by default")
  .option("--logs", "Take the proxies' logs into the trace", { default: false })
  .option("--json", "Print JSON alone", { default: false })
  .action((flags: Flags) => run(flags));
cli.help();
cli.parse();

async function run(flags: Flags): Promise<void> {
  const { minutes, rounds, seed, json, groups, logs } = flags;
  const endsAt = Date.now() + minutes * msPerMinute;
  const goesOn = (done: number) => (rounds === undefined ? Date.now() < endsAt : done < rounds);
  const onRound = (line: string) => {
    if (!json) print(line);
  };
  const report = await runSoak({
    seed,
    shouldContinue: goesOn,
    onRound,
    logs,
    ...(groups === undefined ? {} : { groups }),
    ...(flags.faults === undefined ? {} : { faults: parseFaults(flags.faults) }),
  });
  if (!json) print(formatCounts(report.counts));
  if (report.trace !== "") print(report.trace);
  const { trace, ...summary } = report;
  print(JSON.stringify(summary));
  for (const breach of report.breaches) print(`seed ${seed}: ${breach}`);
  // What a breach left behind may hold the process; the run is over all the same.
  process.exit(report.breaches.length === 0 && trace === "" ? 0 : 1);
}

function parseFaults(text: string): readonly Fault["type"][] {
  const wanted = text.split(",");
  const unknown = wanted.filter((name) => !faultTypes.some((type) => type === name));
  if (unknown.length > 0) throw new Error(`unknown faults: ${unknown.join(", ")}`);
  return faultTypes.filter((type) => wanted.includes(type));
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
