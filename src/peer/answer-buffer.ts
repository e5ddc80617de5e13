const chunkBytes = 32 * 1024;
const maxWaitingBytes = 256 * 1024;
const flushMs = 5;

/**
 * Gathers an answer's messages into chunks. The sender of messages waits while too many bytes have
 * not left the process: a caller that reads slowly then holds back the target's answer, and costs
 * the owner no more than `maxWaitingBytes` and one message.
 */
export class AnswerBuffer {
  private pieces: Buffer[] = [];
  private bytes = 0;
  private waitingBytes = 0;
  private timer: NodeJS.Timeout | undefined;
  private waiting: (() => void)[] = [];
  private isClosed = false;

  constructor(private readonly send: (chunk: Uint8Array) => void) {}

  /** Takes a message, whose bytes are copied; the promise ends when there is room for another. */
  readonly accept = (message: Uint8Array): Promise<void> | undefined => {
    if (this.isClosed) return undefined;
    this.pieces.push(Buffer.from(message));
    this.bytes += message.length;
    if (this.bytes < chunkBytes) {
      this.timer ??= setTimeout(() => this.flush(), flushMs);
      return undefined;
    }
    this.flush();
    return this.waitingBytes <= maxWaitingBytes ? undefined : this.waitForRoom();
  };

  /** Hands over the end of an answer, to travel with its outcome. */
  takeRemaining(): Uint8Array {
    const chunk = this.take();
    this.waitingBytes += chunk.length;
    return chunk;
  }

  /** So many bytes have left the process. */
  recordSent(bytes: number): void {
    this.waitingBytes -= bytes;
    if (this.waitingBytes <= maxWaitingBytes) this.wake();
  }

  /** Nobody reads any more. */
  close(): void {
    this.isClosed = true;
    this.take();
    this.wake();
  }

  private flush(): void {
    const chunk = this.take();
    this.waitingBytes += chunk.length;
    this.send(chunk);
  }

  private take(): Uint8Array {
    clearTimeout(this.timer);
    this.timer = undefined;
    const [first, ...rest] = this.pieces;
    const chunk = rest.length === 0 ? first : Buffer.concat(this.pieces);
    this.pieces = [];
    this.bytes = 0;
    return chunk ?? Buffer.alloc(0);
  }

  private waitForRoom(): Promise<void> {
    return new Promise((resolve) => this.waiting.push(resolve));
  }

  private wake(): void {
    const { waiting } = this;
    this.waiting = [];
    for (const resolve of waiting) resolve();
  }
}
