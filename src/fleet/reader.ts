import { decodeStored } from "../controller/configuration/index.js";
import { fleetEvents } from "../log/events/fleet.js";
import type { Logger } from "../log/index.js";
import type { Configuration, ObjectStore, StoredObject } from "../model/index.js";
import { configurationKind, configurationName } from "./kinds.js";
import type { WatcherHandler } from "./watcher.js";

/** What a `ConfigurationReader` needs. */
export interface ReaderOptions {
  readonly store: ObjectStore;
  readonly logger: Logger;
  /** Takes what the store holds; nothing when it holds none. */
  readonly handle: (configuration: Configuration | undefined) => void;
}

/** Reads the configuration object, checks it, and notes when the store goes and comes back. */
export class ConfigurationReader implements WatcherHandler {
  private isDown = false;

  constructor(private readonly options: ReaderOptions) {}

  /** Whether the last call found the store out of reach. */
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
    this.noteUp();
    const stored = decodeStored(object.value);
    if (stored === undefined) {
      this.options.logger.write(fleetEvents.configurationInvalid, { version: object.version });
      return;
    }
    const { revision, changeId, teams, rules } = stored;
    this.options.handle({ revision, changeId, teams, rules });
  }

  onAbsent(): void {
    this.noteUp();
    this.options.handle(undefined);
  }

  onUnavailable(reason: string): void {
    if (!this.isDown) this.options.logger.write(fleetEvents.storeUnreachable, { reason });
    this.isDown = true;
  }

  onBroken(reason: string): void {
    this.options.logger.write(fleetEvents.watchFailed, { reason });
  }

  private noteUp(): void {
    if (this.isDown) this.options.logger.write(fleetEvents.storeReachable);
    this.isDown = false;
  }
}
