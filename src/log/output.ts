import { write, writeSync } from "node:fs";

const flushBytes = 4096;
const flushIntervalMs = 500;
const maxBufferedBytes = 16 * 1024 * 1024;
const retryMs = 10;
const maxRetries = 50;

/**
 * Writes text to a file descriptor in the background, in large pieces. pino's own destination
 * repeats a failed synchronous write for ever: with the reader of a pipe gone, a process that
 * flushes at its end would hang there, deaf to signals, with no timer that could fire. Here what
 * can't be written is dropped and every wait has a bound, so that an end is always reached.
 */
export class LogOutput {
  private buffered: string[] = [];
  private bufferedBytes = 0;
  private isWriting = false;
  private isBroken = false;
  private timer: NodeJS.Timeout | undefined;
  private readonly idleListeners: (() => void)[] = [];

  constructor(private readonly descriptor: number) {}

  /** Takes a line. It is dropped when the reader is gone, or far behind. */
  write(text: string): void {
    if (this.isBroken || this.bufferedBytes > maxBufferedBytes) return;
    this.buffered.push(text);
    this.bufferedBytes += text.length;
    if (this.bufferedBytes >= flushBytes) this.writeNext();
    else this.timer ??= setTimeout(() => this.writeNext(), flushIntervalMs).unref();
  }

  /** Writes out all that waits, at once; for the process's end. */
  flushSync(): void {
    const rest = Buffer.from(this.takeBuffered());
    let done = 0;
    for (let tries = 0; done < rest.length && tries < maxRetries; tries += 1) {
      const written = this.tryWrite(rest.subarray(done));
      if (written === 0) sleepBlocking(retryMs);
      if (written > 0) tries = 0;
      done += written;
      if (this.isBroken) return;
    }
  }

  /** Resolves when all that was taken is written or dropped, or after `ms`. */
  async finish(timeoutMs: number): Promise<void> {
    this.writeNext();
    if (!this.isWriting) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      this.idleListeners.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private writeNext(): void {
    if (this.isWriting) return;
    const bytes = Buffer.from(this.takeBuffered());
    if (bytes.length === 0) {
      for (const resolve of this.idleListeners.splice(0)) resolve();
      return;
    }
    this.isWriting = true;
    this.writePart(bytes);
  }

  private writePart(bytes: Buffer): void {
    write(this.descriptor, bytes, (error, written) => {
      const rest = bytes.subarray(error === null ? written : 0);
      if (error !== null && !isBusy(error)) this.isBroken = true;
      if (this.isBroken || rest.length === 0) {
        this.isWriting = false;
        this.writeNext();
      } else {
        setTimeout(() => this.writePart(rest), error === null ? 0 : retryMs);
      }
    });
  }

  private tryWrite(bytes: Buffer): number {
    try {
      return writeSync(this.descriptor, bytes);
    } catch (error) {
      if (!isBusy(error)) this.isBroken = true;
      return 0;
    }
  }

  private takeBuffered(): string {
    clearTimeout(this.timer);
    this.timer = undefined;
    const text = this.isBroken ? "" : this.buffered.join("");
    this.buffered = [];
    this.bufferedBytes = 0;
    return text;
  }
}

function isBusy(error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === "EAGAIN";
}

function sleepBlocking(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}
