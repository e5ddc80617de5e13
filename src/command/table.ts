/** Formats a header and rows as text, with each column padded to its widest cell. */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const lines = [head, ...rows];
  const widths = head.map((_, i) => Math.max(...lines.map((row) => row[i]?.length ?? 0)));
  return lines
    .map((row) =>
      row
        .map((cell, i) => cell.padEnd(widths[i] ?? 0))
        .join("  ")
        .trimEnd(),
    )
    .join("\n");
}
