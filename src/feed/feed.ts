import type { AnnouncedTarget, Database, TeamRoster } from "../direct/index.js";
import type { StoreRead, StoreWrite } from "../model/index.js";

/** The operators' accepted configuration. */
export interface RouteTable {
  /** Grows with each change. */
  readonly revision: number;
  readonly databases: ReadonlyMap<string, Database>;
  /** By group: the connections that each target accepts from all proxies together. */
  readonly connections: ReadonlyMap<string, number>;
  readonly transactionIdleMs: number;
  readonly lineTimeoutMs: number;
  /** Absent where the configuration keeps no teams. */
  readonly roster?: TeamRoster;
  /** Teams and routes of which something was left out, and the field for which; to be logged. */
  readonly invalidEntries?: readonly InvalidEntry[];
}

/** A target that has registered itself, and the group that it belongs to. */
export interface ListedTarget {
  readonly group: string;
  readonly target: AnnouncedTarget;
}

/** An entry among the targets that names none: whoever wrote it does not write as targets do. */
export interface InvalidEntry {
  readonly name: string;
  /** The first field that no target would write so, by the platform's name for it. */
  readonly field: string;
}

/** The platform's list of targets. */
export interface TargetListing {
  readonly targets: readonly ListedTarget[];
  readonly invalidEntries: readonly InvalidEntry[];
}

/** What the store keeps of a group's targets beside the entries that they write themselves. */
export interface GroupRecord {
  readonly group: string;
  readonly targets: readonly AnnouncedTarget[];
  /** Of the object in the store; 0 before there is one. */
  readonly version: number;
}

/** What the platform's store tells a proxy. No call rejects. */
export interface PlatformFeed {
  readRoutes(): Promise<StoreRead<RouteTable>>;
  readTargets(): Promise<StoreRead<TargetListing>>;
  /** What was last known of the groups' targets, as a proxy wrote it down. */
  readGroupRecords(): Promise<StoreRead<readonly GroupRecord[]>>;
  /** Writes a group's record if it still has the version that was read. */
  writeGroupRecord(record: GroupRecord): Promise<StoreWrite>;
}
