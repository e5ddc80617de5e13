/** An error or warning about a position in a settings file. Lines and columns are counted from 1. */
export interface SettingsFault {
  readonly source: string;
  readonly line: number;
  readonly column: number;
  /** The keys and indices from the root to the value, such as `rules[2].then.serve.class`. */
  readonly path: string;
  readonly message: string;
}

/** The result of loading a file: its value with warnings, or all of its faults. */
export type LoadResult<T> =
  | { readonly type: "loaded"; readonly value: T; readonly warnings: readonly SettingsFault[] }
  | { readonly type: "faulty"; readonly faults: readonly SettingsFault[] };

/** Formats a fault as `file:line:column: path: message`. */
export function formatFault({ source, line, column, path, message }: SettingsFault): string {
  const position = `${source}:${line}:${column}`;
  return path === "" ? `${position}: ${message}` : `${position}: ${path}: ${message}`;
}
