/** Requests that wait for a controller's decision, by id. Each is settled once. */
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
   * Waits until `settle` is called for the id. `submit` hands the request to the controller,
   * which may decide immediately. `onAbort` runs if the signal aborts before the decision.
   */
  wait(id: string, signal: AbortSignal, submit: () => void, onAbort: () => void): Promise<R> {
    return new Promise((resolve) => {
      this.waiting.set(id, (result) => {
        signal.removeEventListener("abort", onAbort);
        resolve(result);
      });
      signal.addEventListener("abort", onAbort, { once: true });
      submit();
      if (signal.aborted && this.has(id)) onAbort();
    });
  }

  /** Resolves the wait for the id. Returns false if the id is not waiting. */
  settle(id: string, result: R): boolean {
    const resolve = this.waiting.get(id);
    this.waiting.delete(id);
    resolve?.(result);
    return resolve !== undefined;
  }
}
