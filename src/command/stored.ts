import type { StoredConfiguration } from "../controller/configuration/index.js";
import { ConfigurationEditor } from "../fleet/index.js";
import type { CommandContext } from "./context.js";
import { FaultyFileError, UnavailableError } from "./errors.js";

/** Reads the stored configuration; `undefined` if none was ever applied. */
export async function readStoredConfiguration(
  context: CommandContext,
): Promise<StoredConfiguration | undefined> {
  const read = await new ConfigurationEditor(context).readCurrent();
  switch (read.type) {
    case "read":
      return read.stored;
    case "unavailable":
      throw new UnavailableError(`the platform's store is unreachable: ${read.reason}`);
    case "faulty":
      throw new FaultyFileError("the store's configuration is invalid");
  }
}
