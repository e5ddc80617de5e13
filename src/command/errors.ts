import ModernError from "modern-errors";
import { exitCodes, type ExitCode } from "./exit-codes.js";

/** An error that ends a command with an exit code of its own. */
export type CommandFailure = Error & { readonly exitCode: ExitCode };

/** A class of such errors. */
export type CommandFailureClass = new (
  message: string,
  options?: { readonly cause?: unknown },
) => CommandFailure;

const Base = ModernError.subclass("CommandError");

/** `modern-errors`' own instance types are no `Error` to the compiler; at run time they are. */
function defineError(name: `${string}Error`, exitCode: ExitCode): CommandFailureClass {
  return Base.subclass(name, { props: { exitCode } });
}

/** Anything that no other class covers. */
export const UnexpectedError = defineError("UnexpectedError", exitCodes.unexpected);

/** Wrong arguments. */
export const UsageError = defineError("UsageError", exitCodes.usage);

/** The operators' file has faults; the message lists all. */
export const FaultyFileError = defineError("FaultyFileError", exitCodes.faultyFile);

/** Another operator's change and this one can't both hold. */
export const ConflictError = defineError("ConflictError", exitCodes.conflict);

/** The store or the proxies can't be reached; nothing was changed. */
export const UnavailableError = defineError("UnavailableError", exitCodes.unavailable);

/** The change may have taken effect. */
export const UncertainError = defineError("UncertainError", exitCodes.uncertain);

/** The change is accepted, but not yet in force on every live proxy. */
export const NotEverywhereError = defineError("NotEverywhereError", exitCodes.notEverywhere);

/** Makes a command's failure of whatever was thrown. */
export function toCommandFailure(error: unknown): CommandFailure {
  if (error instanceof Base) return error as unknown as CommandFailure;
  const message = error instanceof Error ? error.message : String(error);
  const isUsage = error instanceof Error && error.name === "CACError";
  return isUsage ? new UsageError(message) : new UnexpectedError(message, { cause: error });
}
