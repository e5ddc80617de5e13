import type { Filter } from "../../filter/index.js";
import type { ServeContext } from "../context.js";

/** The part of a group that the open filter uses. */
export interface OpeningGroup {
  /** Whether a primary has been known at any time since the group was opened. */
  hasHadPrimary(): boolean;
  /** Resolves once a primary is known, or none is expected soon. */
  waitForPrimary(signal: AbortSignal): Promise<void>;
}

/**
 * Lets the first requests of a group wait for the first answers of its targets. A proxy that has just
 * become a group's owner knows no primary yet and would refuse its first writes without need.
 */
export function createOpenFilter(group: OpeningGroup): Filter<ServeContext> {
  return {
    name: "open",
    async apply(context, next) {
      if (!group.hasHadPrimary()) await group.waitForPrimary(context.signal);
      return next(context);
    },
  };
}
