import { write, writeSync } from "node:fs";

const flushBytes = 4096;
const flushIntervalMs = 500;
const maxBufferedBytes = 16 * 1024 * 1024;
const retryDelayMs = 10;
const maxRetries = 50;

/**
 * Writes text to a file descriptor in the background, in large chunks. pino's own destination
 * retries a failed synchronous write without end: when the reader of a pipe is gone, a process that
 * flushes at exit would hang there, handling no signals and firing no timers. This class drops what
 * can't be written and bounds every wait, so that the process always exits.
 */
export class LogOutput {
  private buffered: string[] = [];
  private bufferedBytes = 0;
  private isWriting = false;
  private isBroken = false;
  private timer: NodeJS.Timeout | undefined;
  private readonly idleListeners: (() => void)[] = [];

  constructor(private readonly descriptor: number) {}

  /** Buffers a line, or drops it if the reader is gone or more than `maxBufferedBytes` behind. */
  write(text: string): void {
    if (this.isBroken || this.bufferedBytes > maxBufferedBytes) return;
    this.buffered.push(text);
    this.bufferedBytes += text.length;
    if (this.bufferedBytes >= flushBytes) this.writeNext();
    else this.timer ??= setTimeout(() => this.writeNext(), flushIntervalMs).unref();
  }

  /** Writes all buffered text synchronously. Meant for the exit of the process. */
  flushSync(): void {
    const rest = Buffer.from(this.takeBuffered());
    let writtenBytes = 0;
    for (let retries = 0; writtenBytes < rest.length && retries < maxRetries; retries += 1) {
      const written = this.tryWrite(rest.subarray(writtenBytes));
      if (written === 0) sleepBlocking(retryDelayMs);
      if (written > 0) retries = 0;
      writtenBytes += written;
      if (this.isBroken) return;
    }
  }

  /** Resolves when all accepted lines are written or dropped, or after `timeoutMs`. */
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
        setTimeout(() => this.writePart(rest), error === null ? 0 : retryDelayMs);
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
