import { writeFileSync } from "node:fs";

/** Collects what was sent, answered and run, and writes it to a file at the end. */
export class CaseRecord {
  private readonly lines: string[] = [];
  private readonly startedAt = performance.now();

  constructor(private readonly path: string) {}

  get now(): number {
    return performance.now() - this.startedAt;
  }

  note(text: string): void {
    this.lines.push(`${(this.now / 1000).toFixed(3)} s  ${text}`);
  }

  print(text: string): void {
    this.note(text);
    console.log(text);
  }

  write(): void {
    writeFileSync(this.path, `${this.lines.join("\n")}\n`);
  }
}
