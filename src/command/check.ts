import { formatFault } from "../settings/index.js";
import { printResult, type CommandContext } from "./context.js";
import { exitCodes, type ExitCode } from "./exit-codes.js";
import { readConfigurationFile } from "./file.js";

/** Checks a file of teams and rules locally, without access to the store or the proxies. */
export async function runCheck(context: CommandContext, path: string): Promise<ExitCode> {
  const { file, warnings } = await readConfigurationFile(context, path);
  const lines = warnings.map((warning) => `warning: ${formatFault(warning)}`);
  const text = [...lines, `${file.teams.length} teams, ${file.rules.length} rules: no faults`];
  const counts = { teams: file.teams.length, rules: file.rules.length };
  printResult(context, { ...counts, warnings }, text.join("\n"));
  return exitCodes.done;
}
