import { formatChange, listChanges } from "./changes.js";
import { printResult, type CommandContext } from "./context.js";
import { readStoredConfiguration } from "./stored.js";
import { exitCodes, type ExitCode } from "./exit-codes.js";
import { readConfigurationFile } from "./file.js";

/** Shows the changes that applying a file would make to the stored configuration. */
export async function runDiff(context: CommandContext, path: string): Promise<ExitCode> {
  const { file } = await readConfigurationFile(context, path);
  const stored = await readStoredConfiguration(context);
  const changes = listChanges(stored ?? { teams: [], rules: [] }, file);
  const revision = stored?.revision ?? 0;
  const text =
    changes.length === 0 ? `no changes to revision ${revision}` : changes.map(formatChange);
  printResult(context, { revision, changes }, [text].flat().join("\n"));
  return changes.length === 0 ? exitCodes.done : exitCodes.differs;
}
