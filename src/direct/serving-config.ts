import type { ServeAction, Target } from "../model/index.js";
import type { TeamRoster } from "./roster.js";

/** A database that callers may open, and how its statements are served. */
export interface Database {
  readonly name: string;
  readonly group: string;
  readonly action: ServeAction;
  /** Whether callers need no key for it. */
  readonly isPublic?: boolean;
}

/** A target with the role that it last announced for itself. */
export interface AnnouncedTarget extends Target {
  readonly announcedRole: "primary" | "replica";
  /** When its process was started, by its own time of day; absent where it does not say. */
  readonly startedAt?: number;
}

/** A group and its targets as the platform lists them. */
export interface AnnouncedGroup {
  readonly name: string;
  /** Connections that each target accepts from all proxies together. */
  readonly connections: number;
  readonly targets: readonly AnnouncedTarget[];
}

/** What a proxy serves: its databases and the groups behind them. */
export interface ServingConfig {
  /** Of the configuration in force; 0 before any is known. Never goes back. */
  readonly revision: number;
  readonly databases: ReadonlyMap<string, Database>;
  readonly groups: ReadonlyMap<string, AnnouncedGroup>;
  /** Absent where the configuration keeps no teams: callers are told apart by nothing then. */
  readonly roster?: TeamRoster;
  /** How long a transaction may rest between two statements, in milliseconds. */
  readonly transactionIdleMs: number;
  /** How long a line may take from its first byte to its end, in milliseconds. */
  readonly lineTimeoutMs: number;
}

/** Before any configuration is known. The times hold until one brings its own. */
export const emptyServingConfig: ServingConfig = {
  revision: 0,
  databases: new Map(),
  groups: new Map(),
  transactionIdleMs: 3000,
  lineTimeoutMs: 3000,
};
