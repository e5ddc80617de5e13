import { compareTerms, succeed } from "../../model/index.js";
import type { FailoverEffect } from "./event.js";
import { isHeard } from "./leader.js";
import {
  type FailoverState,
  getHealth,
  type Leadership,
  type Step,
  withHealth,
  withPhase,
} from "./state.js";

/** Believes in a primary and tells the others to follow it. */
export function beginSteady(state: FailoverState, leadership: Leadership, at: number): Step {
  const { primary, term } = leadership;
  const { switching, ...rest } = state;
  const isSwitching = switching?.target === primary && at < switching.until;
  const next: FailoverState = { ...rest, ...(isSwitching ? { switching } : {}), attempts: 0 };
  const steady = withPhase(dropTold(next), { type: "steady", primary, term });
  const tended = tellReplicas(steady, leadership, at);
  const note = { type: "note", note: { type: "led", target: primary, term } } as const;
  return succeed(tended.state, [note, ...tended.effects]);
}

/** Goes on believing in a primary; targets that were told to follow it are not told anew. */
export function keepSteady(state: FailoverState, leadership: Leadership, at: number): Step {
  const { primary, term } = leadership;
  return tellReplicas(withPhase(state, { type: "steady", primary, term }), leadership, at);
}

/**
 * What targets were told holds for one primary. Right after a second change of primary they would
 * else count as told, and the first write would wait for a replica that copies from nobody.
 */
function dropTold(state: FailoverState): FailoverState {
  return state.options.targets.reduce((s, t) => withHealth(s, t, { toldAt: -Infinity }), state);
}

/** Tells every reachable target that does not follow the primary in its term to do so. */
export function tellReplicas(state: FailoverState, leadership: Leadership, at: number): Step {
  let next = state;
  const effects: FailoverEffect[] = [];
  for (const target of state.options.targets) {
    if (!isAstray(state, target, leadership, at)) continue;
    next = withHealth(next, target, { toldAt: at });
    effects.push(tellTarget(state, target, leadership));
  }
  return succeed(next, effects);
}

function isAstray(
  state: FailoverState,
  target: string,
  { primary, term }: Leadership,
  at: number,
): boolean {
  const health = getHealth(state, target);
  const status = health.view?.status;
  if (target === primary || status === undefined || !isHeard(state, target)) return false;
  const order = compareTerms(status.fencedAt, term);
  if (order > 0 || at - health.toldAt < state.options.timings.followMs) return false;
  return order < 0 || status.role === "primary" || status.follows !== primary;
}

/**
 * An old primary that comes back believing that it leads would go on committing while it prepares to
 * follow, and its callers would wait for confirmations that never come. The fence stops it at once;
 * it is told to follow when it has answered.
 */
function tellTarget(
  state: FailoverState,
  target: string,
  { primary, term }: Leadership,
): FailoverEffect {
  const timeoutMs = state.options.timings.controlMs;
  const isPrimary = getHealth(state, target).view?.status.role === "primary";
  if (isPrimary) return { type: "control", request: { type: "fence", target, term }, timeoutMs };
  return { type: "control", request: { type: "follow", target, primary, term }, timeoutMs };
}
