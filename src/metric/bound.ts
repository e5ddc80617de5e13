/** Keeps the number of a label's values bounded: values beyond the limit count as `other`. */
export class LabelBound {
  private readonly seen = new Set<string>();

  constructor(private readonly limit: number) {}

  pick(value: string): string {
    if (this.seen.has(value)) return value;
    if (this.seen.size >= this.limit) return "other";
    this.seen.add(value);
    return value;
  }
}
