const chunkBytes = 32 * 1024;
const maxUnsentBytes = 256 * 1024;
const maxBufferMs = 5;

/**
 * Combines the messages of an answer into chunks, with backpressure: the sender of messages waits
 * while more than `maxUnsentBytes` have not left the process. A caller that reads slowly therefore
 * slows the target down, and the owner holds no more than `maxUnsentBytes` and one message for it.
 */
export class AnswerBuffer {
  private messages: Buffer[] = [];
  private bufferedBytes = 0;
  private unsentBytes = 0;
  private timer: NodeJS.Timeout | undefined;
  private waiters: (() => void)[] = [];
  private isClosed = false;

  constructor(private readonly send: (chunk: Uint8Array) => void) {}

  /**
   * Adds a message, whose bytes are copied. The sender must wait for the promise, if there is one,
   * before it adds another. After `close` messages are discarded.
   */
  readonly accept = (message: Uint8Array): Promise<void> | undefined => {
    if (this.isClosed) return undefined;
    this.messages.push(Buffer.from(message));
    this.bufferedBytes += message.length;
    if (this.bufferedBytes < chunkBytes) {
      this.timer ??= setTimeout(() => this.flush(), maxBufferMs);
      return undefined;
    }
    this.flush();
    return this.unsentBytes <= maxUnsentBytes ? undefined : this.waitForSpace();
  };

  /** Returns what is not in a chunk yet, to be sent in the same response as the outcome. */
  takeRemaining(): Uint8Array {
    const chunk = this.takeBuffered();
    this.unsentBytes += chunk.length;
    return chunk;
  }

  /** Records that `bytes` bytes have left the process, and resumes the senders when they are few enough. */
  recordSent(bytes: number): void {
    this.unsentBytes -= bytes;
    if (this.unsentBytes <= maxUnsentBytes) this.resumeSenders();
  }

  /** Discards what is buffered and resumes the senders, since there is no reader any more. */
  close(): void {
    this.isClosed = true;
    this.takeBuffered();
    this.resumeSenders();
  }

  private flush(): void {
    const chunk = this.takeBuffered();
    this.unsentBytes += chunk.length;
    this.send(chunk);
  }

  private takeBuffered(): Uint8Array {
    clearTimeout(this.timer);
    this.timer = undefined;
    const [first, ...rest] = this.messages;
    const chunk = rest.length === 0 ? first : Buffer.concat(this.messages);
    this.messages = [];
    this.bufferedBytes = 0;
    return chunk ?? Buffer.alloc(0);
  }

  private waitForSpace(): Promise<void> {
    return new Promise((resolve) => this.waiters.push(resolve));
  }

  private resumeSenders(): void {
    const { waiters } = this;
    this.waiters = [];
    for (const resolve of waiters) resolve();
  }
}
