/** Requests that wait for a controller to decide about them, by id. Each is settled once. */
export class Waiters<R> {
  private readonly waiting = new Map<string, (result: R) => void>();

  get size(): number {
    return this.waiting.size;
  }

  has(id: string): boolean {
    return this.waiting.has(id);
  }

  listIds(): readonly string[] {
    return [...this.waiting.keys()];
  }

  /**
   * Waits until `settle` is called for the id. `ask` puts the question to the controller, which may
   * answer at once; `onAbort` runs when the signal aborts before the answer.
   */
  wait(id: string, signal: AbortSignal, ask: () => void, onAbort: () => void): Promise<R> {
    return new Promise((resolve) => {
      this.waiting.set(id, (result) => {
        signal.removeEventListener("abort", onAbort);
        resolve(result);
      });
      signal.addEventListener("abort", onAbort, { once: true });
      ask();
      if (signal.aborted && this.has(id)) onAbort();
    });
  }

  /** Hands the result to whoever waits; false when nobody does any more. */
  settle(id: string, result: R): boolean {
    const resolve = this.waiting.get(id);
    this.waiting.delete(id);
    resolve?.(result);
    return resolve !== undefined;
  }
}
