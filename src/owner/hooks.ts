import type { GapSplit } from "../groupwatch/index.js";
import type { Outcome, Request } from "../model/index.js";

/** What a process counts of its groups' work. */
export interface OwnerHooks {
  readonly onOutcome: (request: Request, outcome: Outcome) => void;
  readonly onQueueWait: (request: Request, waitMs: number) => void;
  readonly onFailover: (group: string, gapMs: number, split: GapSplit) => void;
}

/** Counts nothing. */
export const noopHooks: OwnerHooks = {
  onOutcome: () => undefined,
  onQueueWait: () => undefined,
  onFailover: () => undefined,
};
