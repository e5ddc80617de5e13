import { ownerEvents } from "../log/events/owner.js";
import type { Logger } from "../log/index.js";
import type { Clock, Disposable, Group, ObjectStore } from "../model/index.js";

const readMs = 2000;

/** Each VM reads the list the more rarely the more there are, so that the store's load is bounded. */
const readMsPerVm = 5;

/** What a `GroupDirectory` needs. */
export interface GroupDirectoryOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly countVms: () => number;
  readonly onChange: (groups: ReadonlyMap<string, Group>) => void;
}

/** Keeps the platform's database groups. While the store is down the last list stays in use. */
export class GroupDirectory implements Disposable {
  private groups: ReadonlyMap<string, Group> = new Map();
  private readonly ended = new AbortController();
  private known = "";

  constructor(private readonly options: GroupDirectoryOptions) {}

  /** Resolves after the first reading, whatever came of it, and goes on reading. */
  async start(): Promise<void> {
    await this.read();
    void this.keepReading();
  }

  list(): ReadonlyMap<string, Group> {
    return this.groups;
  }

  dispose(): void {
    this.ended.abort();
  }

  private async keepReading(): Promise<void> {
    const { clock, countVms } = this.options;
    const { signal } = this.ended;
    for (;;) {
      const pause = this.groups.size === 0 ? readMs / 4 : readMs + readMsPerVm * countVms();
      await clock.sleep(pause, signal).catch(() => undefined);
      if (signal.aborted) return;
      await this.read();
    }
  }

  private async read(): Promise<void> {
    const read = await this.options.store.listGroups();
    switch (read.type) {
      case "unavailable":
        this.options.logger.write(ownerEvents.groupsUnreadable, { reason: read.reason });
        return;
      case "absent":
        return;
      case "found":
        this.take(read.value);
    }
  }

  private take(groups: readonly Group[]): void {
    const text = JSON.stringify(groups);
    if (text === this.known) return;
    this.known = text;
    this.groups = new Map(groups.map((g) => [g.name, g]));
    this.options.onChange(this.groups);
  }
}
