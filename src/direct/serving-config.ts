import type { ServeAction, Target } from "../model/index.js";
import type { TeamRoster } from "./roster.js";

/** A database that callers may open, and the policy that its statements are served by. */
export interface Database {
  readonly name: string;
  readonly group: string;
  readonly action: ServeAction;
  /** Whether callers need no key for it. */
  readonly isPublic?: boolean;
}

/** A target with the role that it last announced. */
export interface AnnouncedTarget extends Target {
  readonly announcedRole: "primary" | "replica";
  /** When its process started, by the target's wall clock; absent if the target does not announce it. */
  readonly startedAt?: number;
}

/** A group and its targets as the platform lists them. */
export interface AnnouncedGroup {
  readonly name: string;
  /** The connection limit of each target, shared by all proxies. */
  readonly connections: number;
  readonly targets: readonly AnnouncedTarget[];
  /** Whether the primary acknowledges a commit only once a replica has received it. */
  readonly isSynchronous?: boolean;
}

/** The configuration that a proxy serves by: databases, the groups behind them, teams and limits. */
export interface ServingConfig {
  /** The revision of the configuration; 0 before any is known. Never decreases. */
  readonly revision: number;
  readonly databases: ReadonlyMap<string, Database>;
  readonly groups: ReadonlyMap<string, AnnouncedGroup>;
  /** Absent where the configuration has no teams; all callers are then anonymous. */
  readonly roster?: TeamRoster;
  /** The time that a transaction may stay idle between two statements, in milliseconds. */
  readonly transactionIdleMs: number;
  /** The time that a line may take from its first byte to its end, in milliseconds. */
  readonly lineTimeoutMs: number;
}

/** Whether the configuration orders statements by the operator's levels. */
export function hasLevels(config: Pick<ServingConfig, "databases">): boolean {
  return listLevels(config).length > 0;
}

/** The levels of the configuration's databases, the most important first. */
export function listLevels({ databases }: Pick<ServingConfig, "databases">): readonly number[] {
  const levels = [...databases.values()].flatMap(({ action }) => action.level ?? []);
  return [...new Set(levels)].sort((a, b) => a - b);
}

/** The configuration before the first one arrives, with default time limits. */
export const emptyServingConfig: ServingConfig = {
  revision: 0,
  databases: new Map(),
  groups: new Map(),
  transactionIdleMs: 3000,
  lineTimeoutMs: 3000,
};
