import { ownerEvents } from "../log/events/owner.js";
import type { Logger } from "../log/index.js";
import type { Clock, Disposable, Group, ObjectStore } from "../model/index.js";

/** Shortest interval between two reads of the groups, except while none is known. */
const readIntervalMs = 2000;

/** Added to the interval for each VM, so that the load on the store is bounded in a large fleet. */
const readIntervalMsPerVm = 5;

/** Dependencies of a `GroupDirectory`. */
export interface GroupDirectoryOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly countVms: () => number;
  readonly onChange: (groups: ReadonlyMap<string, Group>) => void;
}

/** Keeps the platform's database groups. While the store is unreachable the last list is kept. */
export class GroupDirectory implements Disposable {
  private groups: ReadonlyMap<string, Group> = new Map();
  private readonly disposeController = new AbortController();
  private lastGroupsJson = "";

  constructor(private readonly options: GroupDirectoryOptions) {}

  /** Resolves after the first read, even if that failed; then reads periodically until disposed. */
  async start(): Promise<void> {
    await this.read();
    void this.pollGroups();
  }

  list(): ReadonlyMap<string, Group> {
    return this.groups;
  }

  dispose(): void {
    this.disposeController.abort();
  }

  private async pollGroups(): Promise<void> {
    const { clock, countVms } = this.options;
    const { signal } = this.disposeController;
    for (;;) {
      const pauseMs =
        this.groups.size === 0
          ? readIntervalMs / 4
          : readIntervalMs + readIntervalMsPerVm * countVms();
      await clock.sleep(pauseMs, signal).catch(() => undefined);
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
        this.updateGroups(read.value);
    }
  }

  private updateGroups(groups: readonly Group[]): void {
    const json = JSON.stringify(groups);
    if (json === this.lastGroupsJson) return;
    this.lastGroupsJson = json;
    this.groups = new Map(groups.map((group) => [group.name, group]));
    this.options.onChange(this.groups);
  }
}
