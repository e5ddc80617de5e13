/** Counts by heading (such as `writes`) and by name under it. */
export type CountTable = Readonly<Record<string, Readonly<Record<string, number>>>>;

const nameWidth = 28;

/** Counters of a run, grouped under headings. */
export class Counts {
  private readonly tables = new Map<string, Map<string, number>>();

  add(heading: string, name: string, count = 1): void {
    const table = this.tables.get(heading) ?? new Map<string, number>();
    this.tables.set(heading, table);
    table.set(name, (table.get(name) ?? 0) + count);
  }

  get(heading: string, name: string): number {
    return this.tables.get(heading)?.get(name) ?? 0;
  }

  list(): CountTable {
    const entries = [...this.tables].map(
      ([heading, table]) => [heading, Object.fromEntries([...table].sort())] as const,
    );
    return Object.fromEntries(entries);
  }
}

/** Formats counts as text: each heading, then its names and counts, one per line. */
export function formatCounts(table: CountTable): string {
  return Object.entries(table)
    .flatMap(([heading, counts]) => [
      heading,
      ...Object.entries(counts).map(([name, count]) => `  ${name.padEnd(nameWidth)}${count}`),
    ])
    .join("\n");
}
