/** An error of the stand-in's SQL with its SQLSTATE. */
export class SqlError extends Error {
  override readonly name = "SqlError";

  constructor(
    readonly state: string,
    message: string,
  ) {
    super(message);
  }
}

/** Builds the error for SQL that the stand-in does not carry out. */
export function createUnsupportedError(what: string): SqlError {
  return new SqlError("0A000", `the stand-in does not support ${what}`);
}
