/** A flag has a value that the command does not take. */
export class UsageError extends Error {
  override readonly name = "UsageError";
}

/** Parses names of faults separated by commas; throws a `UsageError` for one that is not known. */
export function parseFaultNames<T extends string>(text: string, known: readonly T[]): readonly T[] {
  const wanted = text.split(",");
  const unknown = wanted.filter((name) => !known.some((one) => one === name));
  if (unknown.length > 0) throw new UsageError(`--faults: unknown: ${unknown.join(", ")}`);
  return known.filter((name) => wanted.includes(name));
}
