import type { Batch } from "./batch.js";
import type { CallerError } from "./errors.js";

/** What a connection does in order; an end waits until the batches before it are answered. */
export type QueuedItem =
  Batch | { readonly type: "terminate" } | { readonly type: "end"; readonly error: CallerError };

/** An item with the bytes that it took. */
export interface QueuedInput {
  readonly item: QueuedItem;
  readonly bytes: number;
}

const maxQueuedItems = 64;
const maxQueuedBytes = 1024 * 1024;

/** What a caller has sent and the proxy has not answered yet, and the bytes that this takes. */
export class InputQueue {
  private readonly items: QueuedInput[] = [];
  private queuedBytes = 0;
  private unassignedBytes = 0;
  private heldBytes = 0;

  /** `count` hears of bytes taken in and, below zero, given back; false when all hold too many. */
  constructor(private readonly countBytes: (bytes: number) => boolean) {}

  get isEmpty(): boolean {
    return this.items.length === 0;
  }

  /** Whether the caller should wait before it sends more. */
  get isFull(): boolean {
    return this.items.length >= maxQueuedItems || this.queuedBytes >= maxQueuedBytes;
  }

  /** Whether there is room again for a caller that waits. */
  get canResume(): boolean {
    return this.items.length < maxQueuedItems / 2 && this.queuedBytes < maxQueuedBytes / 2;
  }

  /** Bytes have come. False when all callers together have sent too many. */
  addReceivedBytes(bytes: number): boolean {
    this.heldBytes += bytes;
    return this.countBytes(bytes);
  }

  /** A message has been read, for whatever item comes next. */
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

  /** An item is done with. */
  release({ bytes }: QueuedInput): void {
    this.queuedBytes -= bytes;
    this.releaseBytes(bytes);
  }

  /** All that is held is done with. */
  releaseAll(): void {
    this.releaseBytes(this.heldBytes);
  }

  private releaseBytes(bytes: number): void {
    const releasedBytes = Math.min(bytes, this.heldBytes);
    this.heldBytes -= releasedBytes;
    this.countBytes(-releasedBytes);
  }
}
