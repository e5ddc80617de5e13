import type { CandidateTarget, PlacementConstraints } from "./candidates.js";
import { probeIntervalMs } from "./replica-positions.js";

/**
 * Whether a failing target already has the one statement that probes for its recovery; others then go
 * elsewhere. Each statement sent to an unreachable target waits up to 0.4 s for a connection, longer than
 * callers' latency target, and statements queued behind it are refused.
 */
function isBeingProbed({ health, occupiedSlots }: CandidateTarget): boolean {
  return health.failures > 0 && occupiedSlots > 0;
}

/** Whether a statement may go to a target, as far as this process knows. */
export function isEligible(
  candidate: CandidateTarget,
  constraints: PlacementConstraints,
  now: number,
): boolean {
  if (candidate.isLeaving || candidate.hasDrained === true || candidate.slots === 0) return false;
  if (constraints.excluded.has(candidate.name)) return false;
  if (now < candidate.health.avoidUntil || isBeingProbed(candidate)) return false;
  return !constraints.hasRequiredMark || isExpectedInTime(candidate, now);
}

/**
 * Whether a replica is expected to have the required position when a read arrives there. Without an estimate it is
 * unless it has just refused a read. With one that it has reported the position, an earlier refusal says nothing.
 */
export function isExpectedInTime({ readiness, health }: CandidateTarget, now: number): boolean {
  if (readiness?.holdsMark === true) return true;
  return now >= health.laggingUntil && (readiness === undefined || readiness.readyInMs <= 0);
}

/**
 * The time until a replica that lacks the required position is expected to have it, in milliseconds. One that is
 * stalled is tried again after the time between two probes.
 */
export function findLagMs({ readiness, health }: CandidateTarget, now: number): number {
  const readyInMs = Math.min(readiness?.readyInMs ?? 0, probeIntervalMs);
  return Math.max(health.laggingUntil - now, readyInMs);
}

/**
 * Whether a read may go to the primary although replicas are eligible: the primary is in this data centre,
 * runs nothing of this proxy and has not been saturated recently. Each proxy has at most one such read on it,
 * so that writes find a slot; background statements are excluded. Without this rule reads would pay for
 * traffic to another data centre while a local primary is idle.
 */
export function canReadFromLocalPrimary(
  candidate: CandidateTarget,
  constraints: PlacementConstraints,
  now: number,
): boolean {
  if (constraints.isBackground || !candidate.isLocal || candidate.running > 0) return false;
  return (
    isEligible(candidate, { ...constraints, hasRequiredMark: false }, now) &&
    now >= candidate.health.saturatedUntil
  );
}

/** Whether a target is in another region. */
export function isRemote({ distance }: CandidateTarget): boolean {
  return distance === "remote";
}
