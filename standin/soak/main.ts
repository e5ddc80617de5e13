import { cac } from "cac";
import { formatCounts } from "./counts.js";
import { runNodesSide, type NodesSideFlags } from "./nodes/side.js";
import { faultTypes } from "./plan.js";
import { runSoak } from "./run.js";
import { parseFaultNames, UsageError } from "./usage.js";

interface Flags extends NodesSideFlags {
  readonly side: string;
  readonly minutes: number;
  readonly rounds?: number;
  readonly groups?: number;
  readonly logs: boolean;
  readonly json: boolean;
}

const sides = ["callers", "platform"];
const usageExitCode = 2;
const msPerMinute = 60_000;

const cli = cac("soak");
cli
  .command("", "Run sessions under random faults and check the stored data")
  .option("--side <side>", `What is soaked: ${sides.join(" or ")}`, { default: sides[0] })
  .option("--site <file>", "The site as YAML (side platform; default: nine nodes)")
  .option("--scale <factor>", "Multiply the traffic (side platform)", { default: 1 })
  .option("--lead <s>", "Seconds from the nodes' start to that of the traffic (side platform)", {
    default: 0,
  })
  .option("--count <n>", "Number of faults in a run (side platform)", { default: 4 })
  .option("--final <fault>", "End with the loss of all nodes: kill or power (side platform)")
  .option("--share", "Give each node the site's share of a core (side platform)", {
    default: false,
  })
  .option("--plan <name>", "Play a fixed plan of faults in place of drawn ones (side platform)")
  .option("--sync", "Set sync-replicas to 1 (side platform)", { default: false })
  .option("--busy <n>", "Processes beside it that only compute (side platform)", { default: 0 })
  .option("--log <file>", "Write the lines of all nodes to a file (side platform)")
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
  try {
    await runSide(flags);
  } catch (error) {
    if (!(error instanceof UsageError)) throw error;
    console.error(error.message);
    process.exit(usageExitCode);
  }
}

function runSide(flags: Flags): Promise<void> {
  switch (flags.side) {
    case "callers":
      return runCallersSide(flags);
    case "platform":
      return runNodesSide(flags, print);
    default:
      throw new UsageError(`--side: must be ${sides.join(" or ")}: ${flags.side}`);
  }
}

async function runCallersSide(flags: Flags): Promise<void> {
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
    ...(flags.faults === undefined ? {} : { faults: parseFaultNames(flags.faults, faultTypes) }),
  });
  if (!json) print(formatCounts(report.counts));
  if (report.trace !== "") print(report.trace);
  const { trace, ...summary } = report;
  print(JSON.stringify(summary));
  for (const breach of report.breaches) print(`seed ${seed}: ${breach}`);
  // Connections or timers that a breach left open would keep the process running.
  process.exit(report.breaches.length === 0 && trace === "" ? 0 : 1);
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
