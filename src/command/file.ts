import {
  formatFault,
  loadConfigurationFile,
  type ConfigurationFile,
  type SettingsFault,
} from "../settings/index.js";
import type { CommandContext } from "./context.js";
import { FaultyFileError, UsageError } from "./errors.js";

/** The operators' file with its warnings. */
export interface ConfigurationFileContent {
  readonly file: ConfigurationFile;
  readonly warnings: readonly SettingsFault[];
}

/** Reads the operators' file. Throws `FaultyFileError` with every fault. */
export async function readConfigurationFile(
  context: CommandContext,
  path: string,
): Promise<ConfigurationFileContent> {
  const loaded = loadConfigurationFile(await readText(context, path), path);
  if (loaded.type === "faulty") {
    throw new FaultyFileError(loaded.faults.map(formatFault).join("\n"));
  }
  return { file: loaded.value, warnings: loaded.warnings };
}

async function readText(context: CommandContext, path: string): Promise<string> {
  try {
    return await context.readFile(path);
  } catch (error) {
    throw new UsageError(`can't read ${path}`, { cause: error });
  }
}
