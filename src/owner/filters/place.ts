import type { Filter } from "../../filter/index.js";
import { resolveRoute, type ReadRoute } from "../../policy/index.js";
import { assertInvariant, type GroupView, type Outcome, type Request } from "../../model/index.js";
import { ownerEvents } from "../../log/events/owner.js";
import type { Logger } from "../../log/index.js";
import { refuse, type ServeContext } from "../context.js";
import { hasMark } from "../routing.js";
import type { Slot, SlotResult } from "../../capacity/index.js";

const noPrimaryRetryMs = 500;
const deadlineRetryMs = 100;

/** A read prefers a replica that is expected to reach its mark within this time, in milliseconds. */
const patienceMs = 5;

/** The longest wait before a request without a usable target is routed again, in milliseconds. */
const maxWaitMs = 250;

/** The part of a group that the place filter uses. */
export interface PlacingGroup {
  getView(): GroupView;
  route(request: Request, patienceMs: number): ReadRoute;
  /** Finds the target whose slot a write waits for. Between two primaries it is the previous one. */
  findWriteTarget(): string | undefined;
  acquireSlot(
    request: Request,
    candidates: readonly string[],
    signal: AbortSignal,
  ): Promise<SlotResult>;
  /** Resolves at the group's next change, after `ms` at the latest. */
  waitForChange(ms: number, signal: AbortSignal): Promise<void>;
  /** Asks the primary for its current log position. */
  refreshMark(target: string): Promise<void>;
}

type TargetChoice =
  | { readonly type: "candidates"; readonly targets: readonly string[]; readonly reason: string }
  | { readonly type: "wait"; readonly waitMs: number }
  | { readonly type: "refused"; readonly outcome: Outcome };

/** Assigns a request a target and a slot there, which it holds while the rest of the chain runs. */
export function createPlaceFilter(group: PlacingGroup, logger: Logger): Filter<ServeContext> {
  return {
    name: "place",
    async apply(context, next) {
      while (!context.signal.aborted) {
        const choice = chooseTargets(group, context.request);
        switch (choice.type) {
          case "refused":
            return choice.outcome;
          case "wait":
            await group.waitForChange(Math.min(choice.waitMs, maxWaitMs), context.signal);
            continue;
          case "candidates": {
            const acquired = await group.acquireSlot(
              context.request,
              choice.targets,
              context.signal,
            );
            if (acquired.type === "refused") {
              return refuse(acquired.reason, acquired.retryAfterMs, "no slot was granted in time");
            }
            if (!(await canServe(group, context.request, acquired.slot))) {
              acquired.slot.release();
              await group.waitForChange(maxWaitMs, context.signal);
              continue;
            }
            const { target } = acquired.slot;
            logPlacement(logger, context, target, choice.reason);
            return runInSlot(context, acquired.slot, (c) => next({ ...c, slotTarget: target }));
          }
        }
      }
      return refuse("deadline", deadlineRetryMs, "no target could serve the request in time");
    },
  };
}

/** Runs the rest of the chain in a slot, then releases it, or abandons it if the statement may still run. */
export async function runInSlot(
  context: ServeContext,
  slot: Slot,
  next: (context: ServeContext) => Promise<Outcome>,
): Promise<Outcome> {
  const outcome = await next(context);
  const isAbandoned = outcome.type === "failed" && outcome.verdict.type === "mayHaveRun";
  if (isAbandoned && context.signal.aborted) slot.abandon();
  else slot.release();
  return outcome;
}

function chooseTargets(group: PlacingGroup, request: Request): TargetChoice {
  const route = resolveRoute(request.traits, request.action.route);
  if (request.traits.effect === "write" || route.type === "primary") {
    const target = group.findWriteTarget();
    if (target === undefined) return refuseWithoutPrimary();
    const reason = request.traits.effect === "write" ? "write" : "ruleSaysPrimary";
    return { type: "candidates", targets: [target], reason };
  }
  const found = group.route({ ...request, action: { ...request.action, route } }, patienceMs);
  switch (found.type) {
    case "replica":
      return { type: "candidates", targets: found.targets, reason: found.reason };
    case "primary":
      return { type: "candidates", targets: [found.target], reason: found.reason };
    case "wait":
      return { type: "wait", waitMs: found.waitMs };
    case "nowhere":
      return refuseWithoutPrimary();
  }
}

function refuseWithoutPrimary(): TargetChoice {
  return {
    type: "refused",
    outcome: refuse("noPrimary", noPrimaryRetryMs, "the group has no primary"),
  };
}

/**
 * Checks the target again after the slot was granted. While the request waited, the primary may have
 * changed, or the target's log may have been truncated by a change of primary, and a read would miss the
 * session's own write. The result holds for the whole statement, since the log only grows within a term.
 */
async function canServe(group: PlacingGroup, request: Request, slot: Slot): Promise<boolean> {
  const { target } = slot;
  if (request.traits.effect === "write") return group.getView().primary?.target === target;
  if (hasMark(group.getView(), target, request.mark)) return assertHasMark(group, request, target);
  if (group.getView().primary?.target !== target) return false;
  await group.refreshMark(target);
  const isHeld = hasMark(group.getView(), target, request.mark);
  return isHeld && assertHasMark(group, request, target);
}

function assertHasMark(group: PlacingGroup, request: Request, target: string): boolean {
  assertInvariant(
    "readYourWrites",
    hasMark(group.getView(), target, request.mark),
    () => `${request.id} was placed on ${target}, whose log does not contain its mark`,
  );
  return true;
}

function logPlacement(
  logger: Logger,
  { request, attempt }: ServeContext,
  target: string,
  reason: string,
): void {
  const { group, team, kind, effect } = request.traits;
  const { id, rule } = request;
  logger.write(ownerEvents.requestPlaced, {
    request: id,
    group,
    team,
    kind,
    effect,
    rule,
    target,
    reason,
    attempt,
  });
}
