import type { Socket } from "node:net";
import type { Clock } from "../model/index.js";

/** Writes to a caller's socket with back-pressure. */
export class CallerOutput {
  private blockedSince: number | undefined;
  private isCorked = false;

  constructor(
    private readonly socket: Socket,
    private readonly clock: Pick<Clock, "now">,
  ) {}

  /** Milliseconds for which the caller has left buffered output unread; 0 if none waits. */
  get writeBlockedMs(): number {
    return this.blockedSince === undefined ? 0 : this.clock.now() - this.blockedSince;
  }

  get isOpen(): boolean {
    return this.socket.writable;
  }

  /** Writes bytes. The promise, where there is one, resolves once the socket's buffer has drained. */
  write(bytes: Uint8Array): Promise<void> | undefined {
    if (!this.isOpen) return undefined;
    this.cork();
    return this.socket.write(bytes) ? undefined : this.waitForDrain();
  }

  /** Writes the last bytes and closes the socket. */
  end(bytes?: Uint8Array): void {
    if (bytes === undefined) this.socket.end();
    else this.socket.end(bytes);
  }

  /** Answers consist of many small messages; those of one event-loop turn are sent together. */
  private cork(): void {
    if (this.isCorked) return;
    this.isCorked = true;
    this.socket.cork();
    process.nextTick(() => {
      this.isCorked = false;
      this.socket.uncork();
    });
  }

  private waitForDrain(): Promise<void> {
    this.blockedSince ??= this.clock.now();
    return new Promise((resolve) => {
      const finish = (): void => {
        this.socket.off("drain", finish);
        this.socket.off("close", finish);
        this.blockedSince = undefined;
        resolve();
      };
      this.socket.on("drain", finish);
      this.socket.on("close", finish);
    });
  }
}
