import type { Logger } from "../log/index.js";
import type { Clock, Random, Target } from "../model/index.js";
import type { TargetLink } from "../statement/index.js";
import type { PrimarySource } from "./primary.js";
import type { Holding } from "./share.js";
import type { RateLimiter } from "../rates/index.js";
import type { Scene } from "./scene.js";

/**
 * Opens connections to targets. `team` is told to the target, and the connection serves no other; absent for
 * control and for callers of no team. Rejects with a `LinkError` when none could be opened in time.
 */
export interface TargetDialer {
  open(
    group: string,
    target: Target,
    timeoutMs: number,
    team: string | undefined,
  ): Promise<TargetLink>;
  /** Whether an error says that the target accepts no more connections. */
  isTooMany(error: unknown): boolean;
}

/** How one statement or transaction's piece ended, for metrics. */
export interface StatementSample {
  readonly outcome: "answered" | "notRun" | "mayHaveRun";
  readonly effect: "read" | "write" | "commit";
  readonly role: "primary" | "replica" | "none";
  readonly group: string;
  readonly ms: number;
}

/** What direct serving needs of the world. */
export interface DirectPorts {
  readonly dialer: TargetDialer;
  /** Where this proxy runs. */
  readonly dataCentre: string;
  readonly primaries: PrimarySource;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** The scene in force. */
  readonly scene: () => Scene;
  /** What this proxy holds of the connections to a group's targets in one data centre. */
  readonly findHolding: (group: string, dataCentre: string) => Holding;
  /** Keeps teams to their rates. */
  readonly rates: RateLimiter;
  readonly onStatement: (sample: StatementSample) => void;
}
