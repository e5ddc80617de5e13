const units = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 } as const;

type Unit = keyof typeof units;

const unitsLargestFirst: readonly Unit[] = ["h", "m", "s", "ms"];

/** Reads `500ms`, `5s`, `1.5s`, `10m` or `24h` as whole milliseconds; `undefined` for other text. */
export function parseDuration(text: string): number | undefined {
  const match = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/.exec(text);
  if (match === null) return undefined;
  const ms = Number(match[1]) * units[match[2] as Unit];
  return Number.isSafeInteger(ms) ? ms : undefined;
}

/** Writes milliseconds in the largest unit that needs no fraction. */
export function formatDuration(ms: number): string {
  const unit = unitsLargestFirst.find((u) => ms > 0 && ms % units[u] === 0) ?? "ms";
  return `${ms / units[unit]}${unit}`;
}
