/** How a request ended, by what its caller may rely on. */
export const outcomeTypes = ["landed", "notRun", "mayHaveRun", "failed"] as const;

/** One of `answerClasses`. `failed` means an error of the statement itself. */
export type OutcomeType = (typeof outcomeTypes)[number];

/** What one attempt brought. `state` is a SQLSTATE, or a word for a broken connection. */
export type AttemptOutcome =
  | { readonly type: "landed"; readonly rows: readonly unknown[][]; readonly count: number }
  | { readonly type: Exclude<OutcomeType, "landed">; readonly errorCode: string };

const serializationFailure = "40001";

/** Classifies an error by its SQLSTATE; without one the connection broke and nothing is known. */
export function classifySqlState(state: string | undefined): Exclude<OutcomeType, "landed"> {
  if (state === undefined || state === "08007") return "mayHaveRun";
  if (state.startsWith("53") || state.startsWith("57")) return "notRun";
  return state === serializationFailure ? "notRun" : "failed";
}
