import type { Filter } from "../../filter/index.js";
import type { ServeContext } from "../context.js";

/** What the first requests of a group ask of it. */
export interface OpeningGroup {
  /** Whether a primary was known at any time since the group was opened. */
  hasHadPrimary(): boolean;
  /** Resolves once a primary is known, or none is to be expected soon. */
  waitForPrimary(signal: AbortSignal): Promise<void>;
}

/**
 * Lets the first requests of a group wait for its targets' first answers. A proxy that has just
 * become a group's owner knows of no primary yet and would refuse its first writes for nothing.
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
