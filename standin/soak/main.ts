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
  .command("", "Run sessions under random faults and check the stored data")
  .option("--minutes <n>", "Start new rounds for this long", { default: 1 })
  .option("--rounds <n>", "Run this number of rounds instead")
  .option("--seed <n>", "Seed of the faults and of the operations", { default: 1 })
  .option("--faults <types>", "Use only these types of faults, such as killTarget,cutPeer")
  .option(
    "--groups <n>",
    "Number of groups of three targets (default: 2 for even seeds, 1 for odd ones)",
  )
  .option("--logs", "Include the log lines of the proxies in the trace", { default: false })
  .option("--json", "Print only JSON", { default: false })
  .action((flags: Flags) => run(flags));
cli.help();
cli.parse();

async function run(flags: Flags): Promise<void> {
  const { minutes, rounds, seed, json, groups, logs } = flags;
  const endsAt = Date.now() + minutes * msPerMinute;
  const shouldContinue = (done: number) =>
    rounds === undefined ? Date.now() < endsAt : done < rounds;
  const onRound = (line: string) => {
    if (!json) print(line);
  };
  const report = await runSoak({
    seed,
    shouldContinue,
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
  // Connections or timers that a breach left open would keep the process running.
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
