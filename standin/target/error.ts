/** An SQL error with its SQLSTATE in `state`. */
export class SqlError extends Error {
  override readonly name = "SqlError";

  constructor(
    readonly state: string,
    message: string,
  ) {
    super(message);
  }
}

/** Creates the error for SQL that the stand-in does not support. */
export function createUnsupportedError(feature: string): SqlError {
  return new SqlError("0A000", `the stand-in does not support ${feature}`);
}
