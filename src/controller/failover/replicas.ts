import { compareTerms, succeed } from "../../model/index.js";
import type { FailoverEffect } from "./event.js";
import { isResponsive } from "./leader.js";
import {
  type FailoverState,
  getTargetHealth,
  type Leadership,
  type Step,
  withTargetHealth,
  withPhase,
} from "./state.js";

/** Adopts a primary and requests all other targets to follow it. */
export function beginSteady(state: FailoverState, leadership: Leadership, at: number): Step {
  const { primary, term } = leadership;
  const { plannedSwitch, ...rest } = state;
  const isSwitchPending = plannedSwitch?.target === primary && at < plannedSwitch.until;
  const next: FailoverState = {
    ...rest,
    ...(isSwitchPending ? { plannedSwitch } : {}),
    failedElections: 0,
  };
  const steady = withPhase(resetFollowRequests(next), { type: "steady", primary, term });
  const redirected = redirectReplicas(steady, leadership, at);
  const note = { type: "note", note: { type: "led", target: primary, term } } as const;
  return succeed(redirected.state, [note, ...redirected.effects]);
}

/** Returns to a primary that was already known. Recent follow requests to it are not repeated. */
export function resumeSteady(state: FailoverState, leadership: Leadership, at: number): Step {
  const { primary, term } = leadership;
  return redirectReplicas(withPhase(state, { type: "steady", primary, term }), leadership, at);
}

/**
 * Clears the times of follow requests, which named the previous primary. Otherwise, right after a
 * second failover, the replicas would not be asked again for `followRetryMs`, and the first write
 * would wait for a replica that replicates from no primary.
 */
function resetFollowRequests(state: FailoverState): FailoverState {
  return state.options.targets.reduce(
    (s, t) => withTargetHealth(s, t, { followRequestedAt: -Infinity }),
    state,
  );
}

/** Redirects every responsive target that does not follow the primary in its term. */
export function redirectReplicas(state: FailoverState, leadership: Leadership, at: number): Step {
  let next = state;
  const effects: FailoverEffect[] = [];
  for (const target of state.options.targets) {
    if (!needsRedirect(state, target, leadership, at)) continue;
    next = withTargetHealth(next, target, { followRequestedAt: at });
    effects.push(redirectTarget(state, target, leadership));
  }
  return succeed(next, effects);
}

function needsRedirect(
  state: FailoverState,
  target: string,
  { primary, term }: Leadership,
  at: number,
): boolean {
  const health = getTargetHealth(state, target);
  const status = health.view?.status;
  if (target === primary || status === undefined || !isResponsive(state, target)) return false;
  const order = compareTerms(status.fencedAt, term);
  if (order > 0 || at - health.followRequestedAt < state.options.timings.followRetryMs)
    return false;
  return order < 0 || status.role === "primary" || status.follows !== primary;
}

/**
 * Builds the request that redirects a target. An old primary that returns is fenced first: while it
 * prepares to follow it would go on committing, and its callers would wait for confirmations that
 * never come. The follow request is sent after the fence is accepted.
 */
function redirectTarget(
  state: FailoverState,
  target: string,
  { primary, term }: Leadership,
): FailoverEffect {
  const timeoutMs = state.options.timings.controlTimeoutMs;
  const isPrimary = getTargetHealth(state, target).view?.status.role === "primary";
  if (isPrimary) return { type: "control", request: { type: "fence", target, term }, timeoutMs };
  return { type: "control", request: { type: "follow", target, primary, term }, timeoutMs };
}
