/** Something that is released once. */
export interface Disposable {
  dispose(): void | Promise<void>;
}

/** Gathers what a part owns and releases it in reverse order, each once, all even if one fails. */
export class DisposableStore implements Disposable {
  private readonly owned: Disposable[] = [];

  /** Takes `item` over and hands it back. */
  add<T extends Disposable>(item: T): T {
    this.owned.push(item);
    return item;
  }

  /** Takes over a function that releases something. */
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
