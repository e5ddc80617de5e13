import type { AnnouncedTarget, Database, TeamRoster } from "../direct/index.js";
import type { StoreRead, StoreWrite } from "../model/index.js";

/** The configuration that the operators wrote and that was decoded successfully. */
export interface RouteTable {
  /** Increases with each change of the configuration. */
  readonly revision: number;
  readonly databases: ReadonlyMap<string, Database>;
  /** By group: how many connections each target accepts from all proxies together. */
  readonly connections: ReadonlyMap<string, number>;
  /**
   * The groups whose primary acknowledges a commit only once a replica has received it. Absent in the data of a peer of
   * another build; no group counts as such then.
   */
  readonly synchronousGroups?: ReadonlySet<string>;
  readonly transactionIdleMs: number;
  readonly lineTimeoutMs: number;
  /** Undefined when the configuration has no teams. */
  readonly roster?: TeamRoster;
  /** Teams and routes that were left out, entirely or in part, with the faulty field; for the log. */
  readonly invalidEntries?: readonly InvalidEntry[];
  /** Routes whose level or objective is invalid, and which keep their class; for the log. */
  readonly levelFaults?: readonly LevelFault[];
}

/** An invalid level or objective of a route. */
export interface LevelFault {
  readonly name: string;
  /** The field, under its name in the platform's format. */
  readonly field: string;
  /** The invalid value as JSON, possibly cut off. */
  readonly value: string;
}

/** A target that registered itself in the store, with its group. */
export interface ListedTarget {
  readonly group: string;
  readonly target: AnnouncedTarget;
}

/** An entry that can't be decoded, because its writer doesn't follow the format of such entries. */
export interface InvalidEntry {
  readonly name: string;
  /** The first invalid field, under its name in the platform's format. */
  readonly field: string;
}

/** The entries in the platform's list of targets. */
export interface TargetListing {
  readonly targets: readonly ListedTarget[];
  readonly invalidEntries: readonly InvalidEntry[];
}

/** A group's targets as a proxy recorded them, stored apart from the entries that targets write. */
export interface GroupRecord {
  readonly group: string;
  readonly targets: readonly AnnouncedTarget[];
  /** Targets that are no longer listed and may hold acknowledged commits that no other one has; only of synchronous groups. */
  readonly former?: readonly AnnouncedTarget[];
  /** The version of the stored object; 0 before it exists. */
  readonly version: number;
}

/** The result of reading the configuration. */
export type RoutesRead =
  | StoreRead<RouteTable>
  /** It was read, and can't be used; it stays so until the operators change it. */
  | { readonly type: "invalid"; readonly reason: string };

/** Access to the configuration and the targets in the platform's store. No call rejects. */
export interface PlatformFeed {
  readRoutes(): Promise<RoutesRead>;
  readTargets(): Promise<StoreRead<TargetListing>>;
  /** Reads the recorded targets of all groups. */
  readGroupRecords(): Promise<StoreRead<readonly GroupRecord[]>>;
  /** Writes a group's record, provided that the stored one still has the version that was read. */
  writeGroupRecord(record: GroupRecord): Promise<StoreWrite>;
}
