/** How the machine of a fake target is. A dead one refuses connections; a frozen one is silent. */
export type HostState = "up" | "dead" | "frozen";

/** The machine on which a fake target runs. */
export class FakeHost {
  private current: HostState = "up";
  private readonly resumed = new Set<() => void>();
  private readonly broken = new Set<() => void>();

  get state(): HostState {
    return this.current;
  }

  set(state: HostState): void {
    this.current = state;
    if (state !== "frozen") callAll(this.resumed);
    if (state === "dead") callAll(this.broken);
  }

  /** Runs `work` while the host is up; `undefined` when the host dies before the answer is out. */
  run<T>(work: () => T | Promise<T>): Promise<T | undefined> {
    return new Promise((resolve, reject) => {
      const fail = (): void => resolve(undefined);
      this.broken.add(fail);
      this.runUp(work)
        .then(resolve, reject)
        .finally(() => this.broken.delete(fail));
    });
  }

  /** Waits until the host is not frozen. */
  waitUntilUp(): Promise<void> {
    if (this.current !== "frozen") return Promise.resolve();
    return new Promise((resolve) => this.resumed.add(resolve));
  }

  private async runUp<T>(work: () => T | Promise<T>): Promise<T | undefined> {
    await this.waitUntilUp();
    if (this.current === "dead") return undefined;
    const result = await work();
    await this.waitUntilUp();
    return result;
  }
}

function callAll(waiting: Set<() => void>): void {
  const calls = [...waiting];
  waiting.clear();
  for (const call of calls) call();
}
