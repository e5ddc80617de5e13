import { cac } from "cac";
import { formatFailure, runSoak } from "./soak.js";

const cli = cac("soak");
cli
  .command("", "Run drawn faults on a group in memory and check what must hold")
  .option("--minutes <n>", "How long", { default: 1 })
  .option("--seed <n>", "The first seed", { default: 1 })
  .action(async ({ minutes, seed }: { readonly minutes: number; readonly seed: number }) => {
    const { failure, ...total } = await runSoak(minutes, seed);
    process.stdout.write(`${JSON.stringify({ firstSeed: seed, ...total })}\n`);
    if (failure === undefined) return;
    process.stdout.write(`${formatFailure(failure)}\n`);
    process.exitCode = 1;
  });
cli.help();
cli.parse();
