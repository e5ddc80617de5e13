import { createWriteStream, type WriteStream } from "node:fs";

/** Writes what was sent, answered and run, with the time since the start. */
export class Recorder {
  private readonly stream: WriteStream;
  private readonly startedAt = performance.now();

  constructor(path: string) {
    this.stream = createWriteStream(path);
  }

  write(text: string): void {
    const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(3);
    this.stream.write(`${seconds} ${text}\n`);
  }

  close(): Promise<void> {
    return new Promise((resolve) => this.stream.end(resolve));
  }
}
