import {
  formatFault,
  loadConfigurationFile,
  type ConfigurationFile,
  type SettingsFault,
} from "../settings/index.js";
import type { CommandContext } from "./context.js";
import { FaultyFileError, UsageError } from "./errors.js";

/** The operators' configuration file with the warnings about it. */
export interface ConfigurationFileContent {
  readonly file: ConfigurationFile;
  readonly warnings: readonly SettingsFault[];
}

/**
 * Reads the operators' configuration file. Throws `FaultyFileError` with all of its faults, or
 * `UsageError` if it can't be read.
 */
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
    throw new UsageError(`the file ${path} can't be read`, { cause: error });
  }
}
