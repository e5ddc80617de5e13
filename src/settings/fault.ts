/** One fault of a settings file. Lines and columns count from 1. */
export interface SettingsFault {
  readonly source: string;
  readonly line: number;
  readonly column: number;
  /** Keys and indices from the top of the file, such as `rules[2].then.serve.class`. */
  readonly path: string;
  readonly message: string;
}

/** The result of reading a file: its value with warnings, or every fault at once. */
export type LoadResult<T> =
  | { readonly type: "loaded"; readonly value: T; readonly warnings: readonly SettingsFault[] }
  | { readonly type: "faulty"; readonly faults: readonly SettingsFault[] };

/** Writes a fault as `file:line:column: path: message`. */
export function formatFault({ source, line, column, path, message }: SettingsFault): string {
  const place = `${source}:${line}:${column}`;
  return path === "" ? `${place}: ${message}` : `${place}: ${path}: ${message}`;
}
