/** Lets a number of statements work at once; the others wait in the order they came. */
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

  /** Resolves with the function that gives the slot back. */
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
