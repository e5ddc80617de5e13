import type { Filter } from "../../filter/index.js";
import type { Mark } from "../../model/index.js";
import { refuse, type ServeContext } from "../context.js";

const noPrimaryRetryMs = 500;

/** Finds a mark at or beyond all acknowledged writes of the group; undefined without a primary. */
export type FindFloor = (signal: AbortSignal) => Promise<Mark | undefined>;

/**
 * Gives a session without a mark the group's latest position as its mark. A caller that reconnects through
 * the load balancer without its token may have written a moment ago on another connection, and a lagging
 * replica would not show it this write. From then on the session has a mark of its own. A rule that states
 * a maximum age accepts older data for sessions without a token, so its reads get no mark.
 */
export function createFloorFilter(findFloor: FindFloor): Filter<ServeContext> {
  return {
    name: "floor",
    async apply(context, next) {
      const { traits, action, mark } = context.request;
      const isBound = traits.effect === "read" && action.route.type !== "stale";
      if (mark !== undefined || !isBound) return next(context);
      const floor = await findFloor(context.signal);
      if (floor === undefined) return refuse("noPrimary", noPrimaryRetryMs, "no primary is known");
      const outcome = await next({ ...context, request: { ...context.request, mark: floor } });
      return outcome.type === "answered" ? { mark: floor, ...outcome } : outcome;
    },
  };
}
