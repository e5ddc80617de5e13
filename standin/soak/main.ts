import { cac } from "cac";
import { formatCounts } from "./counts.js";
import { runSoak } from "./run.js";

interface Flags {
  readonly minutes: number;
  readonly rounds?: number;
  readonly seed: number;
  readonly json: boolean;
}

const msPerMinute = 60_000;

const cli = cac("soak");
cli
  .command("", "Run callers, faults and checks for a time")
  .option("--minutes <n>", "How long rounds begin", { default: 1 })
  .option("--rounds <n>", "Run just so many rounds instead")
  .option("--seed <n>", "Seed of the plan of faults and of work", { default: 1 })
  .option("--json", "Print JSON alone", { default: false })
  .action((flags: Flags) => run(flags));
cli.help();
cli.parse();

async function run({ minutes, rounds, seed, json }: Flags): Promise<void> {
  const endsAt = Date.now() + minutes * msPerMinute;
  const goesOn = (done: number) => (rounds === undefined ? Date.now() < endsAt : done < rounds);
  const onRound = (line: string) => {
    if (!json) print(line);
  };
  const report = await runSoak({ seed, goesOn, onRound });
  if (!json) print(formatCounts(report.counts));
  if (report.trace !== "") print(report.trace);
  const { trace, ...summary } = report;
  print(JSON.stringify(summary));
  for (const breach of report.breaches) print(`seed ${seed}: ${breach}`);
  process.exitCode = report.breaches.length === 0 && trace === "" ? 0 : 1;
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
