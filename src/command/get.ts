import { renderConfigurationFile } from "../settings/index.js";
import { printResult, type CommandContext } from "./context.js";
import { readStoredConfiguration } from "./stored.js";
import { exitCodes, type ExitCode } from "./exit-codes.js";

/** Flags of `get`. */
export interface GetFlags {
  /** The file to write to instead of the terminal. */
  readonly output?: string;
}

/** Prints the stored configuration, or writes it to a file, with the revision as base of an edit. */
export async function runGet(context: CommandContext, flags: GetFlags): Promise<ExitCode> {
  const stored = await readStoredConfiguration(context);
  const { revision, teams, rules } = stored ?? { revision: 0, teams: [], rules: [] };
  const text = renderConfigurationFile({ revision, teams, rules });
  if (flags.output === undefined) {
    printResult(context, { revision, teams, rules }, text);
    return exitCodes.done;
  }
  await context.writeFile(flags.output, text);
  printResult(
    context,
    { revision, file: flags.output },
    `revision ${revision} was written to ${flags.output}`,
  );
  return exitCodes.done;
}
