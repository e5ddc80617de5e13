import type { FailoverPhases } from "../groupwatch/index.js";
import type { Outcome, Request } from "../model/index.js";

/** Callbacks by which a process records metrics of its groups. Times are in milliseconds. */
export interface OwnerHooks {
  readonly onOutcome: (request: Request, outcome: Outcome) => void;
  readonly onQueueWait: (request: Request, waitMs: number) => void;
  /**
   * Called after each failover that this process ran. `gapMs` is the time from the old primary's last answer
   * to the new one's first acknowledged write.
   */
  readonly onFailover: (group: string, gapMs: number, phases: FailoverPhases) => void;
}

/** Hooks that do nothing. */
export const noopHooks: OwnerHooks = {
  onOutcome: () => undefined,
  onQueueWait: () => undefined,
  onFailover: () => undefined,
};
