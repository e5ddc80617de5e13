/** A flag has a value that the command does not take. */
export class UsageError extends Error {
  override readonly name = "UsageError";
}
