/** A resource that is released exactly once. */
export interface Disposable {
  dispose(): void | Promise<void>;
}

/**
 * Owns resources and releases them in reverse order, each once. If some fail to be released, the
 * others still are, and `dispose` rejects with an `AggregateError`.
 */
export class DisposableStore implements Disposable {
  private readonly owned: Disposable[] = [];

  /** Takes ownership of `item` and returns it. */
  add<T extends Disposable>(item: T): T {
    this.owned.push(item);
    return item;
  }

  /** Registers a function that releases a resource. */
  defer(release: () => void | Promise<void>): void {
    this.owned.push({ dispose: release });
  }

  async dispose(): Promise<void> {
    const failures: unknown[] = [];
    for (let item = this.owned.pop(); item !== undefined; item = this.owned.pop()) {
      try {
        await item.dispose();
      } catch (error) {
        failures.push(error);
      }
    }
    if (failures.length > 0) throw new AggregateError(failures, "some resources were not released");
  }
}
