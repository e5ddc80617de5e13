import type { z } from "zod";
import type { Path, SettingsDocument } from "./document.js";
import type { LoadResult, SettingsFault } from "./fault.js";

type Issue = z.core.$ZodIssue;

/** Validates a document against a schema and returns its value, or all faults in order of position. */
export function validateDocument<T>(
  document: SettingsDocument,
  schema: z.ZodType<T>,
): LoadResult<T> {
  if (document.faults.length > 0) return { type: "faulty", faults: document.faults };
  const result = schema.safeParse(document.value ?? {});
  if (result.success) return { type: "loaded", value: result.data, warnings: [] };
  return toFaultyResult(result.error.issues.flatMap((issue) => toFaults(document, issue)));
}

/** Creates the result of loading an invalid file, with its faults in order of position. */
export function toFaultyResult(faults: readonly SettingsFault[]): {
  readonly type: "faulty";
  readonly faults: readonly SettingsFault[];
} {
  return {
    type: "faulty",
    faults: [...faults].sort((a, b) => a.line - b.line || a.column - b.column),
  };
}

function toFaults(
  document: SettingsDocument,
  issue: Issue,
  parent: Path = [],
): readonly SettingsFault[] {
  const path = [...parent, ...issue.path.filter((s) => typeof s !== "symbol")];
  const value = findValue(document.value, path);
  if (issue.code === "invalid_union" && typeof value === "object") {
    // The last option of each union is the structured one. Its issues are more specific than the
    // message of the union.
    const last = issue.errors.at(-1) ?? [];
    return last.flatMap((inner) => toFaults(document, inner, path));
  }
  if (issue.code === "unrecognized_keys") {
    const messages = issue.message.split("\n");
    return issue.keys.map((key, i) =>
      document.createFault([...path, key], messages[i] ?? "unknown key", "key"),
    );
  }
  const isMissing = value === undefined && issue.code !== "custom";
  return [document.createFault(path, isMissing ? "is missing" : issue.message)];
}

function findValue(value: unknown, path: Path): unknown {
  return path.reduce<unknown>(
    (found, segment) =>
      typeof found === "object" && found !== null
        ? (found as Record<string | number, unknown>)[segment]
        : undefined,
    value,
  );
}
