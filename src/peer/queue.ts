/** A queue in order of arrival that one consumer reads as an async iterator. */
export class AsyncQueue<T> implements AsyncIterableIterator<T> {
  private readonly items: T[] = [];
  private isEnded = false;
  private resumeConsumer: (() => void) | undefined;

  /** `onDequeue` is called with each item just before the consumer receives it. */
  constructor(private readonly onDequeue?: (item: T) => void) {}

  push(item: T): void {
    if (this.isEnded) return;
    this.items.push(item);
    this.resumeConsumer?.();
  }

  /** Ends the iteration after the items that are in the queue. */
  end(): void {
    this.isEnded = true;
    this.resumeConsumer?.();
  }

  /** Ends the iteration now and discards the items that are still in the queue. */
  discard(): void {
    this.items.length = 0;
    this.end();
  }

  async next(): Promise<IteratorResult<T, undefined>> {
    while (this.items.length === 0 && !this.isEnded) {
      await new Promise<void>((resolve) => {
        this.resumeConsumer = resolve;
      });
    }
    this.resumeConsumer = undefined;
    const [item] = this.items.splice(0, 1);
    if (item === undefined) return { done: true, value: undefined };
    this.onDequeue?.(item);
    return { done: false, value: item };
  }

  return(): Promise<IteratorResult<T, undefined>> {
    this.discard();
    return Promise.resolve({ done: true, value: undefined });
  }

  throw(): Promise<IteratorResult<T, undefined>> {
    return this.return();
  }

  [Symbol.asyncIterator](): this {
    return this;
  }
}
