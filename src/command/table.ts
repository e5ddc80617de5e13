/** Writes rows in columns of equal width. */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const all = [head, ...rows];
  const widths = head.map((_, i) => Math.max(...all.map((row) => row[i]?.length ?? 0)));
  return all
    .map((row) =>
      row
        .map((cell, i) => cell.padEnd(widths[i] ?? 0))
        .join("  ")
        .trimEnd(),
    )
    .join("\n");
}
