/** Items from one side to an iteration on the other, in order. For one reader. */
export class AsyncQueue<T> implements AsyncIterableIterator<T> {
  private readonly items: T[] = [];
  private isEnded = false;
  private wake: (() => void) | undefined;

  /** `onTake` hears of each item as it is handed over. */
  constructor(private readonly onTake?: (item: T) => void) {}

  push(item: T): void {
    if (this.isEnded) return;
    this.items.push(item);
    this.wake?.();
  }

  /** Lets the reader have what is here, then ends it. */
  end(): void {
    this.isEnded = true;
    this.wake?.();
  }

  /** Ends the reader at once: what was not handed over never will be. */
  discard(): void {
    this.items.length = 0;
    this.end();
  }

  async next(): Promise<IteratorResult<T, undefined>> {
    while (this.items.length === 0 && !this.isEnded) {
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
    this.wake = undefined;
    const [item] = this.items.splice(0, 1);
    if (item === undefined) return { done: true, value: undefined };
    this.onTake?.(item);
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
