const units = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 } as const;

type Unit = keyof typeof units;

const unitsLargestFirst: readonly Unit[] = ["h", "m", "s", "ms"];

/**
 * Parses a duration such as `500ms`, `5s`, `1.5s`, `10m` or `24h` and returns whole milliseconds, or
 * `undefined` if the text is no such duration.
 */
export function parseDuration(text: string): number | undefined {
  const match = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/.exec(text);
  if (match === null) return undefined;
  const ms = Number(match[1]) * units[match[2] as Unit];
  return Number.isSafeInteger(ms) ? ms : undefined;
}

/** Formats milliseconds in the largest unit that divides them without a fraction. */
export function formatDuration(ms: number): string {
  const unit = unitsLargestFirst.find((u) => ms > 0 && ms % units[u] === 0) ?? "ms";
  return `${ms / units[unit]}${unit}`;
}
