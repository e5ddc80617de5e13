import type { Clock, ObjectStore, Random, StoredObject } from "../model/index.js";
import { configurationKind, configurationName } from "./kinds.js";
import { addJitter, runLoop } from "./loop.js";

/** Mean pause before the object is read again after a failed read or the end of a watch. */
const retryPauseMs = 1000;

/** Receives the results of reading and watching the configuration object. */
export interface WatcherHandler {
  onObject(object: StoredObject): void;
  onAbsent(): void;
  onUnavailable(reason: string): void;
  /** The watch broke; the object is read again. */
  onBroken(reason: string): void;
}

/** Reads the configuration object, then watches it; repeats both until the signal is aborted. */
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
      return addJitter(random, retryPauseMs);
    }
    if (read.type === "found") handler.onObject(read.value);
    else handler.onAbsent();
    await watch(store, read.type === "found" ? read.value.version : 0, handler, signal);
    return addJitter(random, retryPauseMs);
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
