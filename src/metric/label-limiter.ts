/** Limits the number of distinct values of a label; further values are replaced by `other`. */
export class LabelLimiter {
  private readonly seen = new Set<string>();

  constructor(private readonly maxValues: number) {}

  toLabelValue(value: string): string {
    if (this.seen.has(value)) return value;
    if (this.seen.size >= this.maxValues) return "other";
    this.seen.add(value);
    return value;
  }
}
