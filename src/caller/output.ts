import type { Socket } from "node:net";
import type { Clock } from "../model/index.js";

/** Writes to a caller, at the pace at which it reads. */
export class CallerOutput {
  private blockedSince: number | undefined;
  private isCorked = false;

  constructor(
    private readonly socket: Socket,
    private readonly clock: Pick<Clock, "now">,
  ) {}

  /** How long the caller has not read what waits for it, in milliseconds. */
  get writeBlockedMs(): number {
    return this.blockedSince === undefined ? 0 : this.clock.now() - this.blockedSince;
  }

  get isOpen(): boolean {
    return this.socket.writable;
  }

  /** Sends bytes; the promise, where there is one, ends once the caller has read enough. */
  write(bytes: Uint8Array): Promise<void> | undefined {
    if (!this.isOpen) return undefined;
    this.cork();
    return this.socket.write(bytes) ? undefined : this.waitForDrain();
  }

  /** Sends the last bytes and closes. */
  end(bytes?: Uint8Array): void {
    if (bytes === undefined) this.socket.end();
    else this.socket.end(bytes);
  }

  /** Messages are small and many: those of one turn leave in one packet. */
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
