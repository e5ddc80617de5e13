#!/usr/bin/env node
import { existsSync, readFileSync } from "node:fs";
import { cac } from "cac";
import { formatReport, loadLoadSettings, runLoad, SetUpError } from "../load/index.js";
import { formatFault, parseAddress, parseDuration } from "../settings/index.js";
import type { LoadSettings } from "../load/index.js";

interface Flags {
  readonly json: boolean;
  readonly check: boolean;
  readonly seed?: number;
  readonly duration?: string;
  readonly entry?: string | readonly string[];
}

const exitCodes = { fine: 0, violated: 1, usage: 2, notBegun: 3 } as const;

const cli = cac("radishwalk-load");
cli
  .command("<file>", "Run the load that a YAML file describes")
  .option("--json", "Print the figures as JSON", { default: false })
  .option("--check", "Validate the file and exit", { default: false })
  .option("--seed <n>", "Seed, instead of the file's")
  .option("--duration <time>", "Duration such as 30s, instead of the file's")
  .option("--entry <address>", "Proxy to connect to, instead of the file's; may be repeated")
  .action(async (file: string, flags: Flags) => {
    process.exitCode = await runFile(file, flags);
  });
cli.help((sections) => [
  ...sections,
  {
    title: "Exit codes",
    body: "  0  done, no check failed\n  1  a check failed\n  2  faulty settings or flags\n  3  the run could not begin",
  },
]);
cli.parse();

async function runFile(file: string, flags: Flags): Promise<number> {
  if (!existsSync(file)) return refuse([`${file}: no such file`]);
  const loaded = loadLoadSettings(readFileSync(file, "utf8"), file);
  if (loaded.type === "faulty") return refuse(loaded.faults.map(formatFault));
  const settings = applyFlags(loaded.value, flags);
  if (settings === undefined) return refuse(["--entry or --duration can't be read"]);
  if (flags.check) return exitCodes.fine;
  try {
    const report = await runLoad(settings, Date.now().toString(36));
    console.log(flags.json ? JSON.stringify(report, undefined, 2) : formatReport(report));
    const { readYourWrites, atMostOnce } = report.violations;
    return readYourWrites + atMostOnce > 0 ? exitCodes.violated : exitCodes.fine;
  } catch (error) {
    if (!(error instanceof SetUpError)) throw error;
    console.error(error.message);
    return exitCodes.notBegun;
  }
}

function refuse(lines: readonly string[]): number {
  for (const line of lines) console.error(line);
  return exitCodes.usage;
}

function applyFlags(settings: LoadSettings, flags: Flags): LoadSettings | undefined {
  const texts = [flags.entry ?? []].flat();
  const entries = texts.flatMap((text) => parseAddress(text) ?? []);
  const duration = flags.duration === undefined ? settings.duration : parseDuration(flags.duration);
  if (duration === undefined || entries.length < texts.length) return undefined;
  return {
    ...settings,
    seed: flags.seed ?? settings.seed,
    duration,
    entries: entries.length > 0 ? entries : settings.entries,
    ...(settings.tlsCa === undefined ? {} : { tlsCa: readFileSync(settings.tlsCa, "utf8") }),
  };
}
