import { TeamRoster, type Database } from "../direct/index.js";
import type { Team } from "../model/index.js";
import type { ListedTarget, RouteTable } from "./feed.js";
import type { FeedState } from "./state.js";

/** Sent to other proxies as JSON under these field names. */
interface Snapshot {
  readonly routes: {
    readonly revision: number;
    readonly databases: readonly Database[];
    readonly connections: readonly (readonly [string, number])[];
    readonly synchronousGroups?: readonly string[];
    readonly transactionIdleMs: number;
    readonly lineTimeoutMs: number;
    readonly teams?: readonly Team[];
  };
  readonly targets: readonly ListedTarget[];
}

/**
 * Encodes the configuration and the targets for a process that can't reach the store; an empty string
 * before any configuration is known.
 */
export function encodeSnapshot({ routes, targets }: FeedState): string {
  if (routes === undefined) return "";
  const { databases, connections, roster, revision, transactionIdleMs, lineTimeoutMs } = routes;
  const snapshot: Snapshot = {
    routes: {
      revision,
      databases: [...databases.values()],
      connections: [...connections],
      ...(routes.synchronousGroups && { synchronousGroups: [...routes.synchronousGroups] }),
      transactionIdleMs,
      lineTimeoutMs,
      ...(roster === undefined ? {} : { teams: roster.teams }),
    },
    targets: [...targets.values()],
  };
  return JSON.stringify(snapshot);
}

/** Decodes the output of `encodeSnapshot`; undefined when the text is empty or malformed. */
export function decodeSnapshot(
  text: string,
): { readonly routes: RouteTable; readonly targets: readonly ListedTarget[] } | undefined {
  if (text === "") return undefined;
  try {
    const { routes, targets } = JSON.parse(text) as Snapshot;
    const { databases, connections, synchronousGroups, teams, ...rest } = routes;
    const table: RouteTable = {
      ...rest,
      databases: new Map(databases.map((database) => [database.name, database])),
      connections: new Map(connections),
      ...(synchronousGroups === undefined ? {} : { synchronousGroups: new Set(synchronousGroups) }),
      ...(teams === undefined ? {} : { roster: new TeamRoster(teams) }),
    };
    return { routes: table, targets };
  } catch {
    // The peer runs another version of the program; the caller asks the next peer.
    return undefined;
  }
}
