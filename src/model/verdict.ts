/**
 * Whether a failed request may have run. `notRun` is a guarantee: no byte of the request reached a
 * target, or the target's transaction is known to have been rolled back.
 */
export type Verdict =
  | { readonly type: "notRun"; readonly reason: NotRunReason; readonly retryAfterMs: number }
  | { readonly type: "mayHaveRun"; readonly reason: string }
  | { readonly type: "ran" };

/** Why a request was refused or given up before it ran. `findSqlState` gives the SQLSTATE of each. */
export type NotRunReason =
  | "refusedByRule"
  | "queueFull"
  | "deadline"
  | "noPrimary"
  | "noConnection"
  | "noOwner"
  | "superseded"
  | "draining"
  | "overloaded"
  | "storeDown"
  | "tooManyConnections";

/** The SQLSTATE of a request that may have run: transaction_resolution_unknown. */
export const mayHaveRunSqlState = "08007";

/** The SQLSTATE that a caller gets for a request that has not run: class 53 or 57. */
export function findSqlState(reason: NotRunReason): string {
  switch (reason) {
    case "refusedByRule":
    case "queueFull":
    case "overloaded":
      return "53400";
    case "tooManyConnections":
    case "noConnection":
      return "53300";
    case "deadline":
      return "57014";
    case "noPrimary":
    case "noOwner":
    case "superseded":
    case "storeDown":
      return "57P03";
    case "draining":
      return "57P01";
  }
}
