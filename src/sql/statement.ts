/** What a statement means for the session, apart from its effect on data. */
export type StatementKind =
  | { readonly type: "plain" }
  /** Opens an interactive transaction. */
  | { readonly type: "begin"; readonly isReadOnly: boolean }
  /** Ends a transaction by commit or rollback. If `isChained`, it begins the next one at once. */
  | { readonly type: "end"; readonly isCommit: boolean; readonly isChained: boolean }
  /** `SET radishwalk.name = value`. Without a value, the setting is reset to its default. */
  | { readonly type: "setting"; readonly name: string; readonly value?: string }
  /** Discards state of the session, such as its prepared statements. */
  | { readonly type: "discard"; readonly tag: string; readonly scope: "all" | "plans" }
  /** Would change the state of a shared connection beyond the end of the transaction. */
  | { readonly type: "sessionState"; readonly feature: string }
  /** Requires data from the caller before its answer is complete: `COPY FROM STDIN`. */
  | { readonly type: "copyIn" };

/** The prefix of settings that the proxy handles itself. */
export const settingPrefix = "radishwalk.";
