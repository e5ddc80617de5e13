import { decodeStored } from "../controller/configuration/index.js";
import { fleetEvents } from "../log/events/fleet.js";
import type { Logger } from "../log/index.js";
import type { Configuration, ObjectStore, StoredObject } from "../model/index.js";
import { configurationKind, configurationName } from "./kinds.js";
import type { WatcherHandler } from "./watcher.js";

/** Dependencies of a `ConfigurationReader`. */
export interface ReaderOptions {
  readonly store: ObjectStore;
  readonly logger: Logger;
  /** Is called with the stored configuration; undefined if the store holds none. */
  readonly onStored: (configuration: Configuration | undefined) => void;
}

/** Reads and validates the configuration object; logs when the store's reachability changes. */
export class ConfigurationReader implements WatcherHandler {
  private isDown = false;

  constructor(private readonly options: ReaderOptions) {}

  /** Whether the store was unreachable at the last call. */
  isStoreDown(): boolean {
    return this.isDown;
  }

  async read(): Promise<void> {
    const read = await this.options.store.get(configurationKind, configurationName);
    switch (read.type) {
      case "found":
        this.onObject(read.value);
        return;
      case "absent":
        this.onAbsent();
        return;
      case "unavailable":
        this.onUnavailable(read.reason);
        return;
    }
  }

  onObject(object: StoredObject): void {
    this.recordReachable();
    const stored = decodeStored(object.value);
    if (stored === undefined) {
      this.options.logger.write(fleetEvents.configurationInvalid, { version: object.version });
      return;
    }
    const { revision, changeId, teams, rules } = stored;
    this.options.onStored({ revision, changeId, teams, rules });
  }

  onAbsent(): void {
    this.recordReachable();
    this.options.onStored(undefined);
  }

  onUnavailable(reason: string): void {
    if (!this.isDown) this.options.logger.write(fleetEvents.storeUnreachable, { reason });
    this.isDown = true;
  }

  onBroken(reason: string): void {
    this.options.logger.write(fleetEvents.watchFailed, { reason });
  }

  private recordReachable(): void {
    if (this.isDown) this.options.logger.write(fleetEvents.storeReachable);
    this.isDown = false;
  }
}
