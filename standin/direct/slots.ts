/** The slots of a stand-in target, and the statements that wait for one. */
export class TargetSlots {
  private running = 0;
  private readonly waiting: (() => void)[] = [];

  constructor(
    private readonly slots: number,
    /** How many statements may wait. */
    private readonly queue: number,
  ) {}

  /** The number of slots in use; the opening of connections may take more than there are. */
  get runningCount(): number {
    return this.running;
  }

  /** Takes a slot, if need be after waiting in the queue; false if that is full. */
  async acquire(): Promise<boolean> {
    if (this.running < this.slots) {
      this.running += 1;
      return true;
    }
    if (this.waiting.length >= this.queue) return false;
    await new Promise<void>((resolve) => this.waiting.push(resolve));
    return true;
  }

  /** Hands the slot to the next statement in the queue, or gives it up. */
  release(): void {
    const next = this.running > this.slots ? undefined : this.waiting.shift();
    if (next === undefined) this.running -= 1;
    else next();
  }

  /** Takes a slot for a while, also one more than there are. */
  async hold(ms: number): Promise<void> {
    this.running += 1;
    await new Promise((resolve) => setTimeout(resolve, ms));
    this.release();
  }
}
