import type { Filter } from "../../filter/index.js";
import type { GroupView } from "../../model/index.js";
import type { ServeContext } from "../context.js";

/** What the first requests of a group ask of it. */
export interface OpeningGroup {
  view(): GroupView;
  /** Whether the group was opened a moment ago, so that its targets have not all answered yet. */
  isOpening(): boolean;
  /** Resolves at the group's next change, after `ms` at the latest. */
  waitForChange(ms: number, signal: AbortSignal): Promise<void>;
}

const longestWaitMs = 250;

/**
 * Lets the first requests of a group wait for its targets' first answers. A proxy that has just
 * become a group's owner knows of no primary yet and would refuse its first writes for nothing.
 */
export function createOpenFilter(group: OpeningGroup): Filter<ServeContext> {
  return {
    name: "open",
    async apply(context, next) {
      while (isWaiting(group, context)) await group.waitForChange(longestWaitMs, context.signal);
      return next(context);
    },
  };
}

function isWaiting(group: OpeningGroup, { signal }: ServeContext): boolean {
  return group.isOpening() && group.view().primary === undefined && !signal.aborted;
}
