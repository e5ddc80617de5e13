import type { Database } from "../direct/index.js";
import type { ListedTarget, RouteTable } from "./feed.js";
import type { FeedState } from "./state.js";

interface Snapshot {
  readonly routes: {
    readonly revision: number;
    readonly databases: readonly Database[];
    readonly connections: readonly (readonly [string, number])[];
    readonly transactionIdleMs: number;
    readonly lineTimeoutMs: number;
  };
  readonly targets: readonly ListedTarget[];
}

/** What a process knows of the store, for another that can't reach it; empty when it knows none. */
export function encodeSnapshot({ routes, targets }: FeedState): string {
  if (routes === undefined) return "";
  const { databases, connections, ...rest } = routes;
  const snapshot: Snapshot = {
    routes: { ...rest, databases: [...databases.values()], connections: [...connections] },
    targets: [...targets.values()],
  };
  return JSON.stringify(snapshot);
}

/** Reads what `encodeSnapshot` wrote; nothing comes of what can't be read. */
export function decodeSnapshot(
  text: string,
): { readonly routes: RouteTable; readonly targets: readonly ListedTarget[] } | undefined {
  if (text === "") return undefined;
  try {
    const { routes, targets } = JSON.parse(text) as Snapshot;
    const { databases, connections, ...rest } = routes;
    const byName = new Map(databases.map((database) => [database.name, database]));
    return { routes: { ...rest, databases: byName, connections: new Map(connections) }, targets };
  } catch {
    // A peer of another version of the program; the next one is asked.
    return undefined;
  }
}
