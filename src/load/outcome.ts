/**
 * How a request ended, as far as its caller can know. `landed` means that it was committed or, for a
 * read, answered.
 */
export const outcomeTypes = ["landed", "notRun", "mayHaveRun", "failed"] as const;

/** One of `outcomeTypes`. `failed` means an error of the statement itself. */
export type OutcomeType = (typeof outcomeTypes)[number];

/** The result of one attempt. `errorCode` is a SQLSTATE, or a short text for a connection failure. */
export type AttemptOutcome =
  | { readonly type: "landed"; readonly rows: readonly unknown[][]; readonly count: number }
  | { readonly type: Exclude<OutcomeType, "landed">; readonly errorCode: string };

const serializationFailure = "40001";

/** Classifies an error by its SQLSTATE. Without one the connection failed, and the result is unknown. */
export function classifySqlState(sqlState: string | undefined): Exclude<OutcomeType, "landed"> {
  if (sqlState === undefined || sqlState === "08007") return "mayHaveRun";
  if (sqlState.startsWith("53") || sqlState.startsWith("57")) return "notRun";
  return sqlState === serializationFailure ? "notRun" : "failed";
}
