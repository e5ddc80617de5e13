/** Limits the number of statements executed at once; the others wait in order of arrival. */
export class Slots {
  private busyCount = 0;
  private readonly queue: (() => void)[] = [];

  constructor(readonly size: number) {}

  get busy(): number {
    return this.busyCount;
  }

  get waiting(): number {
    return this.queue.length;
  }

  /** Waits for a free slot; resolves with the function that releases it. */
  async acquire(): Promise<() => void> {
    if (this.busyCount < this.size) this.busyCount += 1;
    else await new Promise<void>((resolve) => this.queue.push(resolve));
    return () => this.release();
  }

  private release(): void {
    const next = this.queue.shift();
    if (next === undefined) this.busyCount -= 1;
    else next();
  }
}
