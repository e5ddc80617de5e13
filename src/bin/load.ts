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

const exitCodes = { success: 0, violation: 1, usage: 2, setUpFailed: 3 } as const;

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
    body: "  0  done, no check failed\n  1  a check failed\n  2  invalid settings or flags\n  3  the run could not start",
  },
]);
cli.parse();

async function runFile(file: string, flags: Flags): Promise<number> {
  if (!existsSync(file)) return reportUsageErrors([`${file}: no such file`]);
  const loaded = loadLoadSettings(readFileSync(file, "utf8"), file);
  if (loaded.type === "faulty") return reportUsageErrors(loaded.faults.map(formatFault));
  const settings = applyFlags(loaded.value, flags);
  if (settings === undefined) return reportUsageErrors(["invalid value of --entry or --duration"]);
  if (flags.check) return exitCodes.success;
  try {
    const report = await runLoad(settings, Date.now().toString(36));
    console.log(flags.json ? JSON.stringify(report, undefined, 2) : formatReport(report));
    const { readYourWrites, atMostOnce } = report.violations;
    return readYourWrites + atMostOnce > 0 ? exitCodes.violation : exitCodes.success;
  } catch (error) {
    if (!(error instanceof SetUpError)) throw error;
    console.error(error.message);
    return exitCodes.setUpFailed;
  }
}

function reportUsageErrors(lines: readonly string[]): number {
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
