import type { SlotWait } from "../capacity/index.js";
import type { Logger } from "../log/index.js";
import type { Clock, Random, Target } from "../model/index.js";
import type { TargetLink } from "../statement/index.js";
import type { PrimarySource } from "./primary.js";
import type { ShareRule } from "./share.js";
import type { RateLimiter } from "../rates/index.js";
import type { ServingConfig } from "./serving-config.js";
import type { CrossingKind, Topology } from "../topology/index.js";

/**
 * Opens connections to targets. `team` is announced to the target, and the connection serves only that
 * team; it is absent for control connections and anonymous callers. Rejects with a `LinkError` when the
 * connection is not open within `timeoutMs`.
 */
export interface TargetDialer {
  open(
    group: string,
    target: Target,
    timeoutMs: number,
    team: string | undefined,
  ): Promise<TargetLink>;
  /** Whether the target refused the connection because its connection limit is reached. */
  isTooManyConnections(error: unknown): boolean;
}

/** The outcome of one statement, inside or outside a transaction, for metrics. */
export interface StatementSample {
  readonly outcome: "answered" | "notRun" | "mayHaveRun";
  readonly effect: "read" | "write" | "commit";
  readonly role: "primary" | "replica" | "none";
  readonly group: string;
  readonly ms: number;
  /** The statement's level; absent where the configuration has no levels. */
  readonly level?: number;
  /** Whether it was answered after the end of its objective. */
  readonly isObjectiveMissed?: boolean;
}

/** The external dependencies of direct serving. */
export interface DirectPorts {
  readonly dialer: TargetDialer;
  /** The data centre that this proxy runs in. */
  readonly dataCentre: string;
  readonly topology: Topology;
  /**
   * Whether one gateway plans the slots of a target for the whole fleet: where statements are forwarded, and
   * the deployment has several regions or the configuration orders statements by level.
   */
  readonly isSlotPlanned: () => boolean;
  readonly primaries: PrimarySource;
  /** Whether a target may have left: a statement sent now could reach it after its drain timeout. */
  readonly hasDrained: (target: string) => boolean;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Returns the configuration in force. */
  readonly getServingConfig: () => ServingConfig;
  /** Finds the rule for this proxy's share of connections to a group's targets in one data centre. */
  readonly findShareRule: (group: string, dataCentre: string) => ShareRule;
  /** Enforces the teams' rate limits. */
  readonly rates: RateLimiter;
  /** Called for each statement that is sent to another region, by a node to a gateway or to a target. */
  readonly onCrossing: (kind: CrossingKind) => void;
  readonly onStatement: (sample: StatementSample) => void;
  /** Called when this process leaves a statement of a group to the primary's gateway. */
  readonly onRedirect: (group: string) => void;
  /** Called when a replica had the position that a read required, or lacked it, contrary to what was expected. */
  readonly onExpectedWrong?: (group: string) => void;
  /** Called at the end of the wait for a slot of each statement with a level. */
  readonly onSlotWait?: (group: string, wait: SlotWait) => void;
}
