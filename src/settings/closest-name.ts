/**
 * Finds the known name with the smallest edit distance to `name`. Returns `undefined` if that distance
 * exceeds half of `name`'s length, and at least two.
 */
export function findClosestName(name: string, known: readonly string[]): string | undefined {
  const maxDistance = Math.max(2, Math.floor(name.length / 2));
  const ordered = known
    .map((candidate) => ({ candidate, distance: computeEditDistance(name, candidate) }))
    .sort((a, b) => a.distance - b.distance);
  const best = ordered[0];
  return best !== undefined && best.distance <= maxDistance ? best.candidate : undefined;
}

function computeEditDistance(a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, i) => i);
  for (let i = 1; i <= a.length; i++) {
    const next = [i];
    for (let j = 1; j <= b.length; j++) {
      const replaced = (row[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1);
      next.push(Math.min(replaced, (row[j] ?? 0) + 1, (next[j - 1] ?? 0) + 1));
    }
    row = next;
  }
  return row[b.length] ?? 0;
}
