import type { Batch } from "./batch.js";
import type { CallerError } from "./errors.js";

/** An entry of the input queue; an `end` takes effect once the batches before it are answered. */
export type QueuedItem =
  Batch | { readonly type: "terminate" } | { readonly type: "end"; readonly error: CallerError };

/** A queued item and the number of bytes it arrived in. */
export interface QueuedInput {
  readonly item: QueuedItem;
  readonly bytes: number;
}

const maxQueuedItems = 64;
const maxQueuedBytes = 1024 * 1024;

/** The requests of one caller that are not answered yet, and the number of their bytes. */
export class InputQueue {
  private readonly items: QueuedInput[] = [];
  private queuedBytes = 0;
  private unassignedBytes = 0;
  private heldBytes = 0;

  /**
   * `countBytes` is told of received bytes and, as a negative number, of released ones. It returns
   * false when all callers together hold too many.
   */
  constructor(private readonly countBytes: (bytes: number) => boolean) {}

  get isEmpty(): boolean {
    return this.items.length === 0;
  }

  /** Whether reading from the caller should pause. */
  get isFull(): boolean {
    return this.items.length >= maxQueuedItems || this.queuedBytes >= maxQueuedBytes;
  }

  /** Whether reading may resume after a pause, at half of the limits. */
  get canResume(): boolean {
    return this.items.length < maxQueuedItems / 2 && this.queuedBytes < maxQueuedBytes / 2;
  }

  /** Counts received bytes. False when all callers together hold too many. */
  addReceivedBytes(bytes: number): boolean {
    this.heldBytes += bytes;
    return this.countBytes(bytes);
  }

  /** Counts a message towards the next item. */
  addMessage(bytes: number): void {
    this.unassignedBytes += bytes;
  }

  push(item: QueuedItem): void {
    this.items.push({ item, bytes: this.unassignedBytes });
    this.queuedBytes += this.unassignedBytes;
    this.unassignedBytes = 0;
  }

  shift(): QueuedInput | undefined {
    return this.items.shift();
  }

  /** Releases the bytes of an item that is answered. */
  release({ bytes }: QueuedInput): void {
    this.queuedBytes -= bytes;
    this.releaseBytes(bytes);
  }

  /** Releases all bytes. */
  releaseAll(): void {
    this.releaseBytes(this.heldBytes);
  }

  private releaseBytes(bytes: number): void {
    const releasedBytes = Math.min(bytes, this.heldBytes);
    this.heldBytes -= releasedBytes;
    this.countBytes(-releasedBytes);
  }
}
