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

const maxItems = 64;
const maxBytes = 1024 * 1024;

/** What a caller has sent and the proxy has not answered yet, and the bytes that this takes. */
export class InputQueue {
  private readonly items: QueuedInput[] = [];
  private queuedBytes = 0;
  private pendingBytes = 0;
  private heldBytes = 0;

  /** `count` hears of bytes taken in and, below zero, given back; false when all hold too many. */
  constructor(private readonly count: (bytes: number) => boolean) {}

  get isEmpty(): boolean {
    return this.items.length === 0;
  }

  /** Whether the caller should wait before it sends more. */
  get isFull(): boolean {
    return this.items.length >= maxItems || this.queuedBytes >= maxBytes;
  }

  /** Whether there is room again for a caller that waits. */
  get hasRoom(): boolean {
    return this.items.length < maxItems / 2 && this.queuedBytes < maxBytes / 2;
  }

  /** Bytes have come. False when all callers together have sent too many. */
  hold(bytes: number): boolean {
    this.heldBytes += bytes;
    return this.count(bytes);
  }

  /** A message has been read, for whatever item comes next. */
  addMessage(bytes: number): void {
    this.pendingBytes += bytes;
  }

  push(item: QueuedItem): void {
    this.items.push({ item, bytes: this.pendingBytes });
    this.queuedBytes += this.pendingBytes;
    this.pendingBytes = 0;
  }

  shift(): QueuedInput | undefined {
    return this.items.shift();
  }

  /** An item is done with. */
  release({ bytes }: QueuedInput): void {
    this.queuedBytes -= bytes;
    this.giveBack(bytes);
  }

  /** All that is held is done with. */
  releaseAll(): void {
    this.giveBack(this.heldBytes);
  }

  private giveBack(bytes: number): void {
    const given = Math.min(bytes, this.heldBytes);
    this.heldBytes -= given;
    this.count(-given);
  }
}
