import ModernError from "modern-errors";
import { exitCodes, type ExitCode } from "./exit-codes.js";

/** An error that ends a command with an exit code of its own. */
export type CommandFailure = Error & { readonly exitCode: ExitCode };

/** A class of `CommandFailure`. */
export type CommandFailureClass = new (
  message: string,
  options?: { readonly cause?: unknown },
) => CommandFailure;

const Base = ModernError.subclass("CommandError");

/**
 * Defines an error class. The instances of `modern-errors` are errors at run time, but their types
 * don't extend `Error`.
 */
function defineError(name: `${string}Error`, exitCode: ExitCode): CommandFailureClass {
  return Base.subclass(name, { props: { exitCode } });
}

/** An error that no other class covers. */
export const UnexpectedError = defineError("UnexpectedError", exitCodes.unexpected);

/** The arguments of the command are invalid. */
export const UsageError = defineError("UsageError", exitCodes.usage);

/** The operators' file or the stored configuration is invalid; the message lists a file's faults. */
export const FaultyFileError = defineError("FaultyFileError", exitCodes.faultyFile);

/** The change conflicts with that of another operator, or its base revision is no longer stored. */
export const ConflictError = defineError("ConflictError", exitCodes.conflict);

/** The store or the proxies are unreachable; nothing was changed. */
export const UnavailableError = defineError("UnavailableError", exitCodes.unavailable);

/** It is unknown whether the change took effect. */
export const UncertainError = defineError("UncertainError", exitCodes.uncertain);

/** The change is accepted, but not yet in force on every live proxy. */
export const NotEverywhereError = defineError("NotEverywhereError", exitCodes.notEverywhere);

/** Converts any thrown value to a `CommandFailure`. */
export function toCommandFailure(error: unknown): CommandFailure {
  if (error instanceof Base) return error as unknown as CommandFailure;
  const message = error instanceof Error ? error.message : String(error);
  const isUsage = error instanceof Error && error.name === "CACError";
  return isUsage ? new UsageError(message) : new UnexpectedError(message, { cause: error });
}
