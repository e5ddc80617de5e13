/** Serialises a JSON value with sorted keys, so that equal values give equal texts. */
export function encodeCanonical(value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) =>
    typeof inner === "object" && inner !== null && !Array.isArray(inner)
      ? Object.fromEntries(Object.entries(inner).sort(([a], [b]) => (a < b ? -1 : 1)))
      : inner,
  );
}

/** Whether two JSON values are equal, regardless of the order of their keys. */
export function isSameValue(a: unknown, b: unknown): boolean {
  if (a === b) return true;
  if (a === undefined || b === undefined) return false;
  return encodeCanonical(a) === encodeCanonical(b);
}
