/** What one statement means to the proxy, beside its effect on data. */
export type StatementKind =
  | { readonly type: "plain" }
  /** Opens an interactive transaction. */
  | { readonly type: "begin"; readonly isReadOnly: boolean }
  /** Ends one: commits it or rolls it back. `chain` opens the next at once. */
  | { readonly type: "end"; readonly isCommit: boolean; readonly isChained: boolean }
  /** `SET radishwalk.name = value`; without a value, back to its default. */
  | { readonly type: "setting"; readonly name: string; readonly value?: string }
  /** Throws away what the session keeps, such as its prepared statements. */
  | { readonly type: "discard"; readonly tag: string; readonly scope: "all" | "plans" }
  /** Would change a connection that callers share, beyond the transaction. */
  | { readonly type: "sessionState"; readonly feature: string }
  /** Wants data from the caller in the middle of its answer. */
  | { readonly type: "copyIn" };

/** The prefix of settings that the proxy keeps itself. */
export const settingPrefix = "radishwalk.";
