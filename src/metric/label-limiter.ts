/** Keeps the number of a label's values bounded: values beyond the limit count as `other`. */
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
