import type { Clock, ObjectStore, Random, StoredObject } from "../model/index.js";
import { configurationKind, configurationName } from "./kinds.js";
import { addJitter, runLoop } from "./loop.js";

const retryMs = 1000;

/** Hears what a watcher sees. */
export interface WatcherHandler {
  onObject(object: StoredObject): void;
  onAbsent(): void;
  onUnavailable(reason: string): void;
  onBroken(reason: string): void;
}

/** Follows the configuration object until the signal is aborted: reads it, watches it, and again. */
export function followConfiguration(
  ports: { readonly store: ObjectStore; readonly clock: Clock; readonly random: Random },
  handler: WatcherHandler,
  signal: AbortSignal,
): Promise<void> {
  const { store, clock, random } = ports;
  return runLoop(clock, signal, async () => {
    const read = await store.get(configurationKind, configurationName);
    if (signal.aborted) return 0;
    if (read.type === "unavailable") {
      handler.onUnavailable(read.reason);
      return addJitter(random, retryMs);
    }
    if (read.type === "found") handler.onObject(read.value);
    else handler.onAbsent();
    await watch(store, read.type === "found" ? read.value.version : 0, handler, signal);
    return addJitter(random, retryMs);
  });
}

function watch(
  store: ObjectStore,
  afterVersion: number,
  handler: WatcherHandler,
  signal: AbortSignal,
): Promise<void> {
  return store.watch(
    configurationKind,
    afterVersion,
    (change) => {
      switch (change.type) {
        case "changed":
          if (change.object.name === configurationName) handler.onObject(change.object);
          return;
        case "removed":
          if (change.name === configurationName) handler.onAbsent();
          return;
        case "broken":
          handler.onBroken(change.reason);
          return;
      }
    },
    signal,
  );
}
